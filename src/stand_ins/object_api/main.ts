/** Runs the object API stand-in as a process of its own. */
import { parseArgs } from "node:util";
import { announceListening, exitOnSignal } from "../shared/program.ts";
import { ObjectApiServer } from "./object_api_server.ts";

const { values } = parseArgs({
  options: {
    listen: { type: "string", default: "127.0.0.1:0" },
    "instance-lag": { type: "string", default: "200" },
  },
});

exitOnSignal();
const instanceLag = Number(values["instance-lag"]);
const server = new ObjectApiServer({ instanceLag });
announceListening({ address: await server.listen(values.listen) });
