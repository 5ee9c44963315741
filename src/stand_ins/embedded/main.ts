/** `npm start`: runs one daemon with its stand-ins in one process. */
import { readFileSync } from "node:fs";
import { request } from "undici";
import { parse } from "yaml";
import { PLAN_LIST_KIND, PlanListName } from "../../common/plans/types.ts";
import { InstanceState, ServiceKind } from "../../common/types.ts";
import { Daemon } from "../../daemon/daemon.ts";
import { checkSettings } from "../../daemon/settings.ts";
import { EngineMember } from "../engine_member/engine_member.ts";
import { FencingMode } from "../engine_member/types.ts";
import { ObjectApiServer } from "../object_api/object_api_server.ts";
import { PlainService } from "../plain_service/plain_service.ts";
import { registerInstance } from "../shared/register.ts";

const ZONE = "vn-north-a";
const DOMAIN = "vn-north-a-fabric";
const ANY_PORT = "127.0.0.1:0";
const CALLERS = process.env["CRANBERRYLEDGE_CALLERS"] ?? "127.0.0.1:8080";
const ENGINES = 8;
/** Milliseconds. */
const READY_CHECK_INTERVAL = 200;

/** Relative to the working directory, so that sources and build find them. */
const EXAMPLES = `${process.cwd()}/examples/song_lam`;

async function startEngine(platform: string, index: number): Promise<void> {
  const id = `engine-${index}`;
  const member = new EngineMember({
    id,
    fencing: FencingMode.Refuse,
    loadTime: 500,
    firstTokenTime: 50,
    tokenTime: 20,
    batchTime: 1,
    reportLag: 200,
    orderDelay: 0,
    honoursValidity: false,
    crashOn: "",
  });
  const address = await member.listen(ANY_PORT);
  await registerInstance(platform, {
    id,
    zone: ZONE,
    domain: DOMAIN,
    address,
    state: InstanceState.Live,
    kind: ServiceKind.Engine,
    service: "",
  });
}

async function startService(platform: string): Promise<void> {
  const id = "delivery-1";
  const service = new PlainService({ id, workTime: 5 });
  const address = await service.listen(ANY_PORT);
  await registerInstance(platform, {
    id,
    zone: ZONE,
    domain: DOMAIN,
    address,
    state: InstanceState.Live,
    kind: ServiceKind.Plain,
    service: "delivery-api",
  });
}

async function putPlanLists(platform: string): Promise<void> {
  for (const list of Object.values(PlanListName)) {
    const text = readFileSync(`${EXAMPLES}/${list}.yaml`, "utf8");
    const url = `http://${platform}/objects/${PLAN_LIST_KIND}/${list}`;
    const answer = await request(url, {
      method: "PUT",
      headers: { "content-type": "application/json", "if-none-match": "*" },
      body: JSON.stringify({ text }),
    });
    await answer.body.dump();
  }
}

async function startDaemon(platform: string): Promise<Daemon> {
  const text = readFileSync(`${EXAMPLES}/entry.yaml`, "utf8");
  const example = parse(text) as Record<string, object>;
  const settings = checkSettings(
    "embedded",
    JSON.stringify({
      ...example,
      daemon: {
        ...example["daemon"],
        callers: CALLERS,
        peers: ANY_PORT,
        operations: ANY_PORT,
      },
      platform: { address: platform },
    }),
  );
  return Daemon.start(settings.unwrap());
}

async function main(): Promise<void> {
  const api = new ObjectApiServer({ instanceLag: 100 });
  const platform = await api.listen(ANY_PORT);
  await putPlanLists(platform);
  for (let index = 0; index < ENGINES; index++) {
    await startEngine(platform, index);
  }
  await startService(platform);
  const daemon = await startDaemon(platform);
  const check = setInterval(() => {
    if (daemon.canServe) {
      clearInterval(check);
      printExampleCall(platform);
    }
  }, READY_CHECK_INTERVAL);
  process.on("SIGINT", () => void daemon.stop().then(() => process.exit(0)));
  process.on("SIGTERM", () => void daemon.stop().then(() => process.exit(0)));
}

function printExampleCall(platform: string): void {
  console.log(`
Serving on http://${CALLERS}, platform stand-in on ${platform}. Try:

  curl -N http://${CALLERS}/v1/services/summarizer/long-brief \\
    -H 'Authorization: Bearer editor-desk-secret' \\
    -H 'Content-Type: application/json' \\
    -d '{"prompt": "a wire story", "maximum_tokens": 40}'
`);
}

await main();
