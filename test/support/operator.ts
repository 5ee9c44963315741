/** Edits the platform's objects, injects its faults and reads its counts. */
import { request } from "undici";
import { HttpPlatform } from "../../src/adapters/platform/http_platform.ts";
import { PLAN_LIST_KIND } from "../../src/common/plans/types.ts";
import type { IFaultControl } from "../../src/stand_ins/object_api/platform_faults.ts";

/** Connects to the platform stand-in directly, bypassing all links. */
export class Operator {
  readonly #address: string;
  readonly platform: HttpPlatform;

  /** @param address - `host:port` of the object API */
  constructor(address: string) {
    this.#address = address;
    this.platform = new HttpPlatform(`http://${address}`);
  }

  /** Overwrites any present value; resolves with the new version. */
  async put(kind: string, name: string, value: unknown): Promise<number> {
    for (;;) {
      const found = (await this.platform.read(kind, name)).unwrap();
      const expectedVersion = found.isSome() ? found.value.version : null;
      const object = { kind, name, value, expectedVersion };
      const written = await this.platform.write(object);
      if (written.isOk()) {
        return written.value;
      }
    }
  }

  /** Writes a list's text; resolves with its version. */
  putList(list: string, text: string): Promise<number> {
    return this.put(PLAN_LIST_KIND, list, { text });
  }

  /** Sets the platform's faults; resolves with its current version. */
  async setFaults(faults: IFaultControl): Promise<number> {
    const answer = await request(`http://${this.#address}/control`, {
      method: "PUT",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(faults),
    });
    return ((await answer.body.json()) as { version: number }).version;
  }

  /** Calls that the platform has received so far, by kind of call. */
  async fetchCallCounts(): Promise<Readonly<Record<string, number>>> {
    const answer = await request(`http://${this.#address}/counts`);
    return (await answer.body.json()) as Record<string, number>;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.platform[Symbol.asyncDispose]();
  }
}
