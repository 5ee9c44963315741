/** Connects the stages of a request: admission, runners and other zones. */
import { sha256Hex } from "../adapters/callers/http_caller_server.ts";
import type { GrpcForwarder } from "../adapters/peers/grpc_forwarder.ts";
import type { IAnswerBoundRecorder } from "../common/calls/answer_bounds.ts";
import type { AnswerMemory } from "../common/calls/answer_memory.ts";
import { chooseSpillTargets } from "../common/decisions/spill.ts";
import type { IZoneSummary } from "../common/membership/zone_directory.ts";
import type { EffectivePlans } from "../common/plans/effective_plans.ts";
import { AdmissionService } from "../common/services/admission_service.ts";
import { CallDispatcher } from "../common/services/call_dispatcher.ts";
import { EngineRunner } from "../common/services/engine_runner.ts";
import { ForwardService } from "../common/services/forward_service.ts";
import type { ISpillTarget } from "../common/services/forwarding.ts";
import type { GroupDirectory } from "../common/services/group_directory.ts";
import type { RequestQuarantine } from "../common/services/request_quarantine.ts";
import { RetryService } from "../common/services/retry_service.ts";
import { RunRecordService } from "../common/services/run_record_service.ts";
import { PlainServiceRunner } from "../common/services/plain_service_runner.ts";
import type {
  IClock,
  ILog,
  IMetrics,
  IPlatform,
  IRandom,
  ITargets,
} from "../common/services/services.ts";
import { SpillingEngineRunner } from "../common/services/spilling_engine_runner.ts";
import { ServiceKind } from "../common/types.ts";
import type { ServiceName } from "../common/types.ts";
import { serviceDefinitions } from "./settings.ts";
import type { Settings } from "./settings.ts";

/** The dependencies of the request pipeline. */
export interface IRequestPipelineParts {
  readonly platform: IPlatform;
  readonly targets: ITargets;
  readonly groups: GroupDirectory;
  readonly forwarder: GrpcForwarder;
  readonly plans: EffectivePlans;
  readonly quarantine: RequestQuarantine;
  /** Summaries of the other zones. */
  readonly zones: () => readonly IZoneSummary[];
  readonly clock: IClock;
  readonly random: IRandom;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly answers: AnswerMemory;
  readonly recorder: IAnswerBoundRecorder;
}

/** Processes a validated request up to its answer. */
export class RequestPipeline {
  readonly dispatcher: CallDispatcher;
  readonly forwardService: ForwardService;
  readonly #parts: IRequestPipelineParts;
  readonly #settings: Settings;
  readonly #retries: RetryService;
  readonly #plainServices: PlainServiceRunner;

  constructor(settings: Settings, parts: IRequestPipelineParts) {
    this.#settings = settings;
    this.#parts = parts;
    const { answers, plans, clock, metrics, recorder } = parts;
    this.#retries = this.#createRetries();
    const admission = this.#createAdmission();
    const engines = this.#createEngines();
    const services = serviceDefinitions(settings);
    this.#plainServices = this.#createPlainServices();
    this.forwardService = new ForwardService({
      ...{ admission, engines, plans, services, clock },
    });
    this.dispatcher = new CallDispatcher({
      admission,
      engines: this.#createSpillingEngines(engines),
      services: this.#plainServices,
      clock,
      metrics,
      answers,
      recorder,
    });
  }

  /** Waits for forwarded requests and at-most-once calls to finish. */
  async close(): Promise<void> {
    await this.forwardService.stop();
    await this.#plainServices.close();
  }

  #createAdmission(): AdmissionService {
    const { clock, groups, metrics, quarantine } = this.#parts;
    return new AdmissionService({
      ...{ groups, clock, metrics, quarantine },
      isServedElsewhere: (service) => this.#isServedElsewhere(service),
    });
  }

  #createRetries(): RetryService {
    const { clock, groups, metrics, random } = this.#parts;
    return new RetryService({ groups, clock, random, metrics });
  }

  #createEngines(): EngineRunner {
    const { clock, groups, log, metrics, quarantine, targets } = this.#parts;
    const { first_token, next_token } = this.#settings.calls;
    return new EngineRunner(
      {
        ...{ groups, targets, clock, log, metrics, quarantine },
        retries: this.#retries,
        isServedElsewhere: (service) => this.#isServedElsewhere(service),
      },
      { firstToken: first_token, nextToken: next_token },
    );
  }

  #createSpillingEngines(local: EngineRunner): SpillingEngineRunner {
    const { clock, forwarder, log, metrics } = this.#parts;
    return new SpillingEngineRunner({
      ...{ local, forwarder, clock, log, metrics },
      targets: (service) => this.#spillTargets(service),
    });
  }

  #createPlainServices(): PlainServiceRunner {
    const { clock, groups, log, metrics, platform, random, targets } =
      this.#parts;
    const records = new RunRecordService({
      ...{ platform, clock, random, log, metrics },
      digest: sha256Hex,
    });
    return new PlainServiceRunner({
      ...{ groups, targets, records, clock },
      retries: this.#retries,
    });
  }

  /** Plain services are called in their own zone only. */
  #isServedElsewhere(service: ServiceName): boolean {
    const { kind } = this.#settings.services[service] ?? {};
    const isEngine = kind === ServiceKind.Engine;
    return isEngine && this.#spillTargets(service).length > 0;
  }

  #spillTargets(service: ServiceName): readonly ISpillTarget[] {
    const { random, zones } = this.#parts;
    return chooseSpillTargets(zones(), service, () => random.next());
  }
}
