/** Builders of calls and recording receivers for tests of the request path. */
import { CallKind } from "../../src/common/calls/types.ts";
import type {
  IResponseHead,
  IResponseReceiver,
  ICall,
  ICallRefusal,
  ICallReply,
  IRoute,
  SendFailure,
} from "../../src/common/calls/types.ts";

/** A route; by default a resumable stream. */
export function routeOf(part: Partial<IRoute> = {}): IRoute {
  return {
    name: "briefs",
    host: "news.example",
    pathPrefix: "/briefs/",
    kind: CallKind.Stream,
    timeout: 8_000,
    objective: 400,
    priority: 1,
    shares: [{ service: "summaries", weight: 1 }],
    maximumAttempts: 2,
    isPublic: false,
    isResumable: true,
    longestPause: 300,
    patience: 2_400,
    ...part,
  };
}

/** A call on the default route. */
export function callOf(part: Partial<ICall> = {}): ICall {
  return {
    id: "attempt-1",
    route: routeOf(),
    service: "summaries",
    account: "desk",
    priority: 1,
    model: "large",
    promptParts: [],
    fingerprint: null,
    tokens: { prompt: 1_000, output: 100 },
    arrivedAt: 0,
    deadline: 8_000,
    lastEventId: null,
    message: {
      method: "POST",
      requestTarget: "/briefs/1?x=2",
      headers: ["Host", "news.example", "X-Attempt-Id", "attempt-1"],
      body: new TextEncoder().encode("text"),
    },
    ...part,
  };
}

/** Records the response to a send and resolves `finished` at its end. */
export class RecordingReceiver implements IResponseReceiver {
  answerHead: IResponseHead | null = null;
  text = "";
  failure: SendFailure | null = null;
  detail = "";
  isSilent = false;
  isFinished = false;
  readonly finished: Promise<void>;
  #resolve: () => void = () => undefined;

  constructor() {
    this.finished = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  onHead(head: IResponseHead): void {
    this.answerHead = head;
  }

  onData(bytes: Uint8Array): void {
    this.text += new TextDecoder().decode(bytes);
  }

  onEnd(): void {
    this.isFinished = true;
    this.#resolve();
  }

  onSilence(): void {
    this.isSilent = true;
  }

  onFailure(failure: SendFailure, detail: string): void {
    this.failure = failure;
    this.detail = detail;
    this.isFinished = true;
    this.#resolve();
  }
}

/** Records the reply that a caller receives. */
export class RecordingReply implements ICallReply {
  text = "";
  head: IResponseHead | null = null;
  isEnded = false;
  isBroken = false;
  refusal: ICallRefusal | null = null;

  get isStarted(): boolean {
    return this.head !== null;
  }

  start(head: IResponseHead): void {
    this.head = head;
  }

  write(bytes: Uint8Array): void {
    this.text += new TextDecoder().decode(bytes);
  }

  end(): void {
    this.isEnded = true;
  }

  refuse(refusal: ICallRefusal): void {
    this.refusal = refusal;
  }

  reset(): void {
    this.isBroken = true;
  }
}
