/** Runs the fault proxy as a process; links are created and set over HTTP. */
import { parseArgs } from "node:util";
import { JsonServer, okAnswer, errorAnswer } from "../shared/json_server.ts";
import type { IJsonAnswer, IJsonRequest } from "../shared/json_server.ts";
import { announceListening, exitOnSignal } from "../shared/program.ts";
import { FaultProxy, LinkMode } from "./fault_proxy.ts";

const { values } = parseArgs({
  options: { listen: { type: "string", default: "127.0.0.1:0" } },
});

const links = new Map<string, FaultProxy>();

/** Handles `POST /links {target}` and `PUT /links/ADDRESS {mode, delay}`. */
async function handle(request: IJsonRequest): Promise<IJsonAnswer> {
  const body = request.body as Record<string, unknown> | null;
  const name = request.parts[1];
  if (request.method === "POST") {
    const link = new FaultProxy(String(body?.target));
    const address = await link.listen("127.0.0.1:0");
    links.set(address, link);
    return okAnswer({ address });
  }
  const link = links.get(name ?? "");
  const mode = Object.values(LinkMode).find((known) => known === body?.mode);
  if (link === undefined || mode === undefined) {
    return errorAnswer(404, "no such link or mode");
  }
  link.setMode(mode, Number(body?.delay ?? 0));
  return okAnswer({ connections: link.connectionCount });
}

exitOnSignal();
const server = new JsonServer(handle);
announceListening({ address: await server.listen(values.listen) });
