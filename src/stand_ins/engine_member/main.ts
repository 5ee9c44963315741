/** Runs the engine member stand-in as a process of its own. */
import { parseArgs } from "node:util";
import { InstanceState, ServiceKind } from "../../common/types.ts";
import { announceListening, exitOnSignal } from "../shared/program.ts";
import { registerInstance } from "../shared/register.ts";
import { EngineMember } from "./engine_member.ts";
import { FencingMode } from "./types.ts";

const { values } = parseArgs({
  options: {
    listen: { type: "string", default: "127.0.0.1:0" },
    platform: { type: "string", default: "" },
    id: { type: "string", default: "engine" },
    zone: { type: "string", default: "zone" },
    domain: { type: "string", default: "domain" },
    fencing: { type: "string", default: FencingMode.Refuse },
    "load-time": { type: "string", default: "200" },
    "first-token": { type: "string", default: "10" },
    "token-time": { type: "string", default: "5" },
    "batch-time": { type: "string", default: "1" },
    "report-lag": { type: "string", default: "200" },
    "order-delay": { type: "string", default: "0" },
    "crash-on": { type: "string", default: "" },
    "honours-validity": { type: "boolean", default: false },
  },
});

exitOnSignal();
const member = new EngineMember({
  id: values.id,
  fencing:
    values.fencing === FencingMode.Ignore
      ? FencingMode.Ignore
      : FencingMode.Refuse,
  loadTime: Number(values["load-time"]),
  firstTokenTime: Number(values["first-token"]),
  tokenTime: Number(values["token-time"]),
  batchTime: Number(values["batch-time"]),
  reportLag: Number(values["report-lag"]),
  orderDelay: Number(values["order-delay"]),
  honoursValidity: values["honours-validity"],
  crashOn: values["crash-on"],
});
const address = await member.listen(values.listen);
if (values.platform !== "") {
  await registerInstance(values.platform, {
    id: values.id,
    zone: values.zone,
    domain: values.domain,
    address,
    state: InstanceState.Live,
    kind: ServiceKind.Engine,
    service: "",
  });
}
announceListening({ address });
