/** The plain service stand-in's own process. */
import { parseArgs } from "node:util";
import { InstanceState, ServiceKind } from "../../common/types.ts";
import { announceListening, exitOnSignal } from "../shared/program.ts";
import { registerInstance } from "../shared/register.ts";
import { PlainService } from "./plain_service.ts";

const { values } = parseArgs({
  options: {
    listen: { type: "string", default: "127.0.0.1:0" },
    platform: { type: "string", default: "" },
    id: { type: "string", default: "service" },
    zone: { type: "string", default: "zone" },
    domain: { type: "string", default: "domain" },
    service: { type: "string", default: "delivery-api" },
    record: { type: "string", default: "" },
    "work-time": { type: "string", default: "5" },
  },
});

exitOnSignal();
const service = new PlainService({
  id: values.id,
  workTime: Number(values["work-time"]),
  recordFile: values.record,
});
const address = await service.listen(values.listen);
if (values.platform !== "") {
  await registerInstance(values.platform, {
    id: values.id,
    zone: values.zone,
    domain: values.domain,
    address,
    state: InstanceState.Live,
    kind: ServiceKind.Plain,
    service: values.service,
  });
}
announceListening({ address });
