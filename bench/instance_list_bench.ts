/**
 * Bytes per read of the instance list by number of instances, when the whole
 * list is sent and when an unchanged list is not sent again.
 */
import { HttpPlatform } from "../src/adapters/platform/http_platform.ts";
import { splitAddress } from "../src/adapters/listen.ts";
import { ObjectApiServer } from "../src/stand_ins/object_api/object_api_server.ts";
import { registerInstance } from "../src/stand_ins/shared/register.ts";
import { InstanceState, ServiceKind } from "../src/common/types.ts";
import { startCountingRelay } from "./support/counting_relay.ts";
import { fitLine } from "./support/linear_fit.ts";

const SIZES: readonly number[] = [60, 255, 1_020, 2_300];
const READS = 200;

interface IReading {
  readonly instances: number;
  /** Bytes per read in both directions, including headers. */
  readonly whole: number;
  readonly unchanged: number;
  /** Processor time per read at both ends, milliseconds. */
  readonly wholeTime: number;
  readonly unchangedTime: number;
}

export async function run(): Promise<void> {
  const readings: IReading[] = [];
  for (const size of SIZES) {
    readings.push(await measure(size));
  }
  for (const reading of readings) {
    const { instances, whole, unchanged } = reading;
    const ratio = (whole / unchanged).toFixed(0);
    console.log(
      `ratio whole/unchanged=${ratio} instances=${instances} ` +
        `whole=${whole.toFixed(0)}B unchanged=${unchanged.toFixed(0)}B ` +
        `whole_time=${reading.wholeTime.toFixed(2)}ms ` +
        `unchanged_time=${reading.unchangedTime.toFixed(2)}ms`,
    );
  }
  const points = readings.map(({ instances, whole }) => ({
    x: instances,
    y: whole,
  }));
  console.log(`whole, bytes by instances: ${JSON.stringify(fitLine(points))}`);
}

async function measure(instances: number): Promise<IReading> {
  await using api = new ObjectApiServer({ instanceLag: 0 });
  const address = await api.listen("127.0.0.1:0");
  for (let index = 0; index < instances; index++) {
    await registerInstance(address, {
      id: `runner-${index}`,
      zone: `vn-north-${index % 9}`,
      domain: `vn-north-${index % 9}-fabric-${index % 36}`,
      address: "10.20.30.40:8000",
      state: InstanceState.Live,
      kind: ServiceKind.Engine,
      service: "",
    });
  }
  const relay = await startCountingRelay(splitAddress(address).port);
  const origin = `http://127.0.0.1:${relay.port}`;
  const read = async (platform: HttpPlatform) => {
    const before = relay.bytes();
    const time = process.cpuUsage();
    for (let index = 0; index < READS; index++) {
      (await platform.instances()).unwrap();
    }
    const { user, system } = process.cpuUsage(time);
    const bytes = (relay.bytes() - before) / READS;
    return { bytes, time: (user + system) / 1_000 / READS };
  };
  await using caching = new HttpPlatform(origin);
  (await caching.instances()).unwrap();
  const unchanged = await read(caching);
  const whole = await readWhole(origin, read);
  relay.close();
  return {
    instances,
    whole: whole.bytes,
    unchanged: unchanged.bytes,
    wholeTime: whole.time,
    unchangedTime: unchanged.time,
  };
}

/** Reads with a new client each time, which has no list to compare with. */
async function readWhole(
  origin: string,
  read: (platform: HttpPlatform) => Promise<{ bytes: number; time: number }>,
): Promise<{ bytes: number; time: number }> {
  await using inner = new HttpPlatform(origin);
  const uncached = {
    instances: async () => {
      await using fresh = new HttpPlatform(origin);
      return await fresh.instances();
    },
  };
  return read(Object.assign(Object.create(inner) as HttpPlatform, uncached));
}
