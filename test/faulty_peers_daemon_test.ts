/** Peers that answer forwarded requests of a daemon without end. */
import { Server, ServerCredentials } from "@grpc/grpc-js";
import type { ServerWritableStream } from "@grpc/grpc-js";
import { expect } from "chai";
import { forwardApi } from "../src/adapters/peers/forward_api.ts";
import type { ForwardReply } from "../src/generated/cranberryledge/ForwardReply.ts";
import type { ForwardRequest__Output } from "../src/generated/cranberryledge/ForwardRequest.ts";
import { sendCall } from "./support/caller.ts";
import { Deployment } from "./support/deployment.ts";
import type { IStatus } from "./support/deployment.ts";
import { MemorySampler } from "./support/memory_sampler.ts";
import { waitFor } from "./support/process_handle.ts";

const FAILED_ZONE = "vn-north-a";
const OTHER_ZONE = "vn-north-b";
const DAEMON = `daemon-${FAILED_ZONE}-0`;

/** Megabytes of a daemon, and of its heap. */
const MEMORY = 350;
const HEAP = 160;

const CALLS = 40;
const SOUND_CALLS = 5;

/** Milliseconds; longer than the deadline of any call. */
const CALL_LIMIT = 70_000;

/** Statuses of calls that a peer did not answer. */
const FAILURES = [502, 503, 504];

interface IZonesStatus extends IStatus {
  readonly zones: readonly { readonly zone: string }[];
}

/** Returns the next reply to a forwarded request. */
type NextReply = (index: number) => ForwardReply;

const ANSWERS: Readonly<Record<string, NextReply>> = {
  "tokens without end": (sequence) => ({
    tokens: [{ sequence, text: "word ", isEnd: false }],
  }),
  "long tokens without end": (sequence) => ({
    tokens: [{ sequence, text: "x".repeat(1_000_000), isEnd: false }],
  }),
  "replies without tokens": () => ({ tokens: [] }),
  "tokens with gaps": (index) => ({
    tokens: [{ sequence: index * 2 + 1, text: "a", isEnd: false }],
  }),
};

/** Answers forwarded requests for as long as its caller reads. */
class FaultyPeer implements AsyncDisposable {
  readonly #server = new Server();

  constructor(next: NextReply) {
    this.#server.addService(forwardApi.cranberryledge.Forward.service, {
      Generate: (
        call: ServerWritableStream<ForwardRequest__Output, ForwardReply>,
      ) => {
        let index = 0;
        const fill = () => {
          let hasRoom = !call.cancelled;
          while (hasRoom) {
            hasRoom = call.write(next(index));
            index += 1;
          }
        };
        call.on("drain", fill);
        fill();
      },
    });
  }

  listen(): Promise<string> {
    const credentials = ServerCredentials.createInsecure();
    return new Promise((resolve, reject) => {
      this.#server.bindAsync("127.0.0.1:0", credentials, (error, port) => {
        if (error === null) {
          resolve(`127.0.0.1:${port}`);
        } else {
          reject(error);
        }
      });
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.forceShutdown();
  }
}

async function startZones(): Promise<Deployment> {
  const deployment = await Deployment.start({
    example: "song_lam",
    zones: [FAILED_ZONE, OTHER_ZONE],
    daemonsPerZone: 1,
    enginesPerZone: 4,
    plainService: "delivery-api",
    limits: { memory: MEMORY, heap: HEAP },
  });
  await waitFor("the other zone is known", async () => {
    const { zones } = (await deployment.status(DAEMON)) as IZonesStatus;
    return zones.some(({ zone }) => zone === OTHER_ZONE);
  });
  return deployment;
}

async function statusOf(
  deployment: Deployment,
  operation: string,
): Promise<number> {
  const isEngines = operation.startsWith("summarizer/");
  const reply = await sendCall({
    address: deployment.process(DAEMON).listeningField("callers"),
    credential: isEngines ? "editor-desk-secret" : "subscriber-app-secret",
    operation,
    body: isEngines ? { prompt: "a", maximum_tokens: 8 } : { page: 1 },
    signal: AbortSignal.timeout(CALL_LIMIT),
  }).catch(() => null);
  return reply?.status ?? 0;
}

// Guards against a daemon that keeps, or works on, all that a peer sends.
describe("peers that answer without end leave others served", () => {
  for (const [name, next] of Object.entries(ANSWERS)) {
    it(name, async () => {
      await using deployment = await startZones();
      await using peer = new FaultyPeer(next);
      const address = await peer.listen();
      for (const engine of deployment.processNames(`engine-${FAILED_ZONE}`)) {
        deployment.process(engine).signal("SIGKILL");
      }
      // Only new connections, as those of forwarded requests, lead there.
      deployment.link(`peers>daemon-${OTHER_ZONE}-0`).setTarget(address);
      const daemon = deployment.process(DAEMON);
      using sampler = new MemorySampler(daemon, MEMORY);
      const calls = Promise.all(
        Array.from({ length: CALLS }, () =>
          statusOf(deployment, "summarizer/headline"),
        ),
      );
      const sound: number[] = [];
      for (let call = 0; call < SOUND_CALLS; call += 1) {
        sound.push(await statusOf(deployment, "delivery-api/feed"));
      }
      const statuses = await calls;
      sound.push(await statusOf(deployment, "delivery-api/feed"));
      expect(daemon.hasExited, "the daemon has ended").to.equal(false);
      expect(sampler.peak).to.be.at.most(MEMORY);
      expect(sound).to.deep.equal(Array(SOUND_CALLS + 1).fill(200));
      const failures = statuses.filter((status) => FAILURES.includes(status));
      expect(failures, statuses.join()).to.have.length(CALLS);
      expect(daemon.output).to.include("event=request_spilled");
    });
  }
});
