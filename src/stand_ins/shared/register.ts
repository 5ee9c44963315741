/** Adds an instance to the platform's instance list. */
import { request } from "undici";
import type { IInstance } from "../../common/types.ts";

/** @param platform - `host:port` of the object API */
export async function registerInstance(
  platform: string,
  instance: IInstance,
): Promise<void> {
  const url = `http://${platform}/instances/${encodeURIComponent(instance.id)}`;
  const answer = await request(url, {
    method: "PUT",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(instance),
  });
  await answer.body.dump();
}
