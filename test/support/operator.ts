/** An operator's hand on the platform: edits, faults, and what was counted. */
import { request } from "undici";
import { HttpPlatform } from "../../src/adapters/platform/http_platform.ts";
import { PLAN_LIST_KIND } from "../../src/common/plans/types.ts";
import type { IFaultControl } from "../../src/stand_ins/object_api/platform_faults.ts";

/** Speaks to the platform stand-in directly, past every link. */
export class Operator {
  readonly #address: string;
  readonly platform: HttpPlatform;

  /** @param address - `host:port` of the object API */
  constructor(address: string) {
    this.#address = address;
    this.platform = new HttpPlatform(`http://${address}`);
  }

  /** Writes a value whatever was there; resolves with the new version. */
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

  /** Puts a list's text; resolves with its version. */
  putList(list: string, text: string): Promise<number> {
    return this.put(PLAN_LIST_KIND, list, { text });
  }

  /** Brings about faults of the platform; resolves with its version. */
  async setFaults(faults: IFaultControl): Promise<number> {
    const answer = await request(`http://${this.#address}/control`, {
      method: "PUT",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(faults),
    });
    return ((await answer.body.json()) as { version: number }).version;
  }

  /** Calls the platform has taken so far, by kind of call. */
  async fetchCallCounts(): Promise<Readonly<Record<string, number>>> {
    const answer = await request(`http://${this.#address}/counts`);
    return (await answer.body.json()) as Record<string, number>;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.platform[Symbol.asyncDispose]();
  }
}
