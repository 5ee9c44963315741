/** The server for callers: HTTP/1.1, JSON bodies and server-sent events. */
import { createHash } from "node:crypto";
import { createServer } from "node:http";
import { createServer as createSecureServer } from "node:https";
import type { Server as SecureServer } from "node:https";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { AnswerMemory } from "../../common/calls/answer_memory.ts";
import type { IDescriptorLimits } from "../../common/calls/descriptor_limits.ts";
import { ProcessLimit } from "../../common/calls/limit_recorder.ts";
import type { LimitRecorder } from "../../common/calls/limit_recorder.ts";
import type { RequestMemory } from "../../common/calls/request_memory.ts";
import type { EffectivePlans } from "../../common/plans/effective_plans.ts";
import type { BurnRecorder } from "../../common/reports/burn_recorder.ts";
import { notRun } from "../../common/services/refusal.ts";
import type { CallDispatcher } from "../../common/services/call_dispatcher.ts";
import type {
  IClock,
  ILog,
  IMetrics,
  IRandom,
} from "../../common/services/services.ts";
import type { ICallerRequest } from "../../common/services/types.ts";
import { Reason } from "../../common/types.ts";
import type {
  IRefusal,
  IServiceDefinition,
  ServiceName,
} from "../../common/types.ts";
import { onCallerLeft } from "../caller_leave.ts";
import { listenOn } from "../listen.ts";
import {
  CertificateReloader,
  readCertificate,
} from "../tls/certificate_reloader.ts";
import type { ICertificateFiles } from "../tls/types.ts";
import { callerRequestId, checkHeaders } from "./caller_headers.ts";
import { answerBadRequest } from "./client_errors.ts";
import { BodyFailure } from "./body_receiver.ts";
import { RequestBodies } from "./request_bodies.ts";
import type { IReceivedBody } from "./request_bodies.ts";
import { CallerConnections } from "./caller_connections.ts";
import { measureJson } from "../json_text.ts";
import { sendAnswer, sendRefusal } from "./caller_answers.ts";

/** Limits on a caller's request, in bytes and milliseconds. */
const MAXIMUM_HEADER_BYTES = 16_384;
const MAXIMUM_BODY_BYTES = 1_000_000;
const HEADERS_TIMEOUT = 5_000;
const REQUEST_TIMEOUT = 15_000;

/** How long a caller may read nothing of its answer, milliseconds. */
const UNREAD_TIMEOUT = 30_000;

/** Characters of a path that a log line contains. */
const LOGGED_LENGTH = 256;

/** Bytes of an empty object in an array of them. */
const VALUE_SIZE = 64;

/** Arrays and objects of a body within each other. */
const MAXIMUM_DEPTH = 500;

/** Retry delay while the daemon keeps too many requests, milliseconds. */
const FULL_RETRY_AFTER = 1_000;

/**
 * How often the two timeouts are checked, milliseconds; at Node's default of
 * 30 s, slow senders pile up.
 */
const CONNECTION_CHECK_INTERVAL = 1_000;

/** How long `stop` waits for the last bytes to be sent, milliseconds. */
const CLOSE_TIMEOUT = 2_000;

/** Retry delay while the plan lists are unknown, milliseconds. */
const LISTS_RETRY_AFTER = 2_000;

/** Retry delay, at another daemon, during shutdown, milliseconds. */
const SHUTDOWN_RETRY_AFTER = 500;

const PATH_PATTERN = /^\/v1\/services\/([^/?]+)\/([^/?]+)$/;

/** The dependencies of the caller server. */
export interface ICallerServerParts {
  readonly dispatcher: CallDispatcher;
  readonly plans: EffectivePlans;
  /** Whether the plan lists are ready for use. */
  areListsReady(): boolean;
  readonly services: ReadonlyMap<ServiceName, IServiceDefinition>;
  readonly clock: IClock;
  readonly random: IRandom;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly burn: BurnRecorder;
  readonly answers: AnswerMemory;
  readonly requests: RequestMemory;
  readonly limits: LimitRecorder;
  readonly maximum: IDescriptorLimits;
  /** Certificate files for TLS; null to listen without TLS. */
  readonly certificate: ICertificateFiles | null;
}

/** Accepts requests from callers and writes the responses. */
export class HttpCallerServer {
  readonly #parts: ICallerServerParts;
  readonly #server: Server | SecureServer;
  readonly #reloader: CertificateReloader | null = null;
  readonly #connections: CallerConnections;
  #openCalls = 0;
  readonly #bodies: RequestBodies;
  #isStopping = false;
  #openResponses = 0;
  #onIdle: (() => void) | null = null;

  constructor(parts: ICallerServerParts) {
    this.#parts = parts;
    const limits = {
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT,
      requestTimeout: REQUEST_TIMEOUT,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL,
      // Such requests are answered here, so that they are counted.
      requireHostHeader: false,
    };
    const serve = (incoming: IncomingMessage, response: ServerResponse) =>
      void this.#serve(incoming, response);
    const { certificate } = parts;
    if (certificate === null) {
      this.#server = createServer(limits, serve);
    } else {
      const secure = {
        ...limits,
        ...readCertificate(certificate),
        handshakeTimeout: HEADERS_TIMEOUT,
      };
      const server = createSecureServer(secure, serve);
      this.#reloader = new CertificateReloader(server, certificate, parts.log);
      this.#server = server;
    }
    this.#server.on("clientError", answerBadRequest);
    this.#server.on("checkContinue", serve);
    this.#server.on("checkExpectation", serve);
    this.#bodies = new RequestBodies({
      memory: parts.requests,
      limits: parts.limits,
      clock: parts.clock,
    });
    this.#connections = new CallerConnections({
      server: this.#server,
      event: certificate === null ? "connection" : "secureConnection",
      maximum: parts.maximum.connections,
      memory: parts.requests,
      limits: parts.limits,
      unreadTimeout: () => UNREAD_TIMEOUT,
    });
  }

  /** Listens on `host:port` and returns the bound address. */
  listen(address: string): Promise<string> {
    return listenOn(this.#server, address);
  }

  /**
   * Lets all requests in flight finish, then closes. Until then, requests on
   * new connections are still answered, with a refusal that sends them to
   * another daemon: a load balancer that has not noticed the shutdown yet would
   * otherwise find a closed port. Idle connections stay open as well: a request
   * may already be on its way, and closing would reset it, so its caller could
   * not know whether it ran.
   */
  async stop(): Promise<void> {
    this.#isStopping = true;
    this.#reloader?.dispose();
    this.#bodies.failAll(BodyFailure.Stopping);
    if (this.#openResponses > 0) {
      await new Promise<void>((resolve) => {
        this.#onIdle = resolve;
      });
    }
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    const timer = setTimeout(
      () => this.#server.closeAllConnections(),
      CLOSE_TIMEOUT,
    );
    this.#server.closeIdleConnections();
    await closed;
    clearTimeout(timer);
  }

  async #serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    // What was parsed before its connection was closed has nobody to answer.
    if (incoming.socket.destroyed) {
      return;
    }
    this.#connections.recordRequest(incoming, response);
    this.#openResponses += 1;
    response.on("close", () => this.#onResponseClosed());
    const requestId =
      callerRequestId(incoming) ?? this.#parts.random.identifier();
    response.setHeader("x-request-id", requestId);
    if (this.#isStopping) {
      response.setHeader("connection", "close");
    }
    try {
      await this.#answer(incoming, response, requestId);
    } catch (error) {
      this.#handleError(requestId, response, error);
    }
  }

  /** Called when a response is fully sent or its connection is closed. */
  #onResponseClosed(): void {
    this.#openResponses -= 1;
    if (this.#openResponses === 0) {
      this.#onIdle?.();
    }
  }

  #handleError(
    requestId: string,
    response: ServerResponse,
    error: unknown,
  ): void {
    if (response.destroyed) {
      this.#parts.log.info("caller_left", { request: requestId });
      return;
    }
    const detail = String(error);
    this.#parts.log.error("caller_fault", { request: requestId, detail });
    response.destroy();
  }

  async #answer(
    incoming: IncomingMessage,
    response: ServerResponse,
    requestId: string,
  ): Promise<void> {
    const started = this.#parts.clock.now();
    const callerLeft = new AbortController();
    onCallerLeft(incoming, response, () => callerLeft.abort());
    const request = await this.#readRequest(
      { incoming, response },
      requestId,
      callerLeft.signal,
    );
    // A caller that has left while it sent its body gets no answer.
    if (request === null) {
      return;
    }
    const measurement = request.isOk()
      ? this.#parts.burn.observeRequest(request.value)
      : null;
    const dispatched = request.isErr()
      ? Err(request.error)
      : await this.#parts.dispatcher.dispatch(request.value);
    const answer = measurement?.observeAnswer(dispatched) ?? dispatched;
    const sent = answer.isErr()
      ? sendRefusal(response, requestId, answer.error)
      : await sendAnswer(response, requestId, {
          answer: answer.value,
          memory: this.#parts.answers,
        });
    measurement?.finish(sent);
    this.#recordRequest(incoming, requestId, { sent, started });
  }

  #recordRequest(
    incoming: IncomingMessage,
    requestId: string,
    result: { readonly sent: string; readonly started: number },
  ): void {
    const { clock, log, metrics } = this.#parts;
    const milliseconds = Math.round(clock.now() - result.started);
    metrics.count("requests", { outcome: result.sent });
    log.info("request", {
      request: requestId,
      path: incoming.url?.slice(0, LOGGED_LENGTH),
      outcome: result.sent,
      milliseconds,
    });
  }

  /** Identifies the account and the operation, and reads the body. */
  async #readRequest(
    {
      incoming,
      response,
    }: {
      readonly incoming: IncomingMessage;
      readonly response: ServerResponse;
    },
    requestId: string,
    signal: AbortSignal,
  ): Promise<Result<ICallerRequest, IRefusal> | null> {
    const { plans, clock, services } = this.#parts;
    if (this.#isStopping) {
      return Err(shuttingDown());
    }
    if (!this.#parts.areListsReady()) {
      const detail = "the plan lists are not known here yet";
      return Err(notRun(Reason.PlanListsUnknown, detail, LISTS_RETRY_AFTER));
    }
    if (incoming.headers.host === undefined) {
      return Err(notRun(Reason.BadRequest, "expected a host header"));
    }
    const account = plans.findByCredential(
      sha256Hex(readBearerToken(incoming)),
    );
    if (account === null) {
      return Err(notRun(Reason.UnknownCaller, "the credential is not known"));
    }
    const path = PATH_PATTERN.exec(incoming.url ?? "");
    const service = services.get(path?.[1] ?? "");
    const operation = service?.operations.get(path?.[2] ?? "");
    if (incoming.method !== "POST" || !service || !operation) {
      const detail = "expected POST /v1/services/SERVICE/OPERATION";
      return Err(notRun(Reason.NoSuchOperation, detail));
    }
    const headers = checkHeaders(incoming);
    if (headers.isErr()) {
      return Err(notRun(Reason.BadRequest, headers.error));
    }
    const text = await this.#readText(incoming, response);
    if (text === null || text.isErr()) {
      return text;
    }
    const body = parseBody(text.value);
    if (body.isErr()) {
      return Err(notRun(Reason.BadRequest, body.error));
    }
    if (!this.#admitCall(incoming, response)) {
      return Err(daemonFull());
    }
    const { key } = headers.value;
    const arrivedAt = clock.now();
    return Ok({
      requestId,
      account,
      service,
      operation,
      body: body.value,
      bodyDigest: key === null ? "" : sha256Hex(text.value),
      key,
      arrivedAt,
      deadline: arrivedAt + account.plan.deadline,
      signal,
      resumeFrom: 0,
    });
  }

  /** Null for a caller that has left. */
  async #readText(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<Result<string, IRefusal> | null> {
    const limit = MAXIMUM_BODY_BYTES;
    const received = await this.#bodies.receive(
      { request: incoming, response },
      { limit, timeout: REQUEST_TIMEOUT },
    );
    if (received.isOk()) {
      return this.#decodeText(received.value);
    }
    switch (received.error) {
      case BodyFailure.TooLong: {
        const detail = `the body is longer than ${limit} bytes`;
        return Err(notRun(Reason.BodyTooLarge, detail));
      }
      case BodyFailure.NoRoom:
        return Err(daemonFull());
      case BodyFailure.TimedOut: {
        const detail = `the body was not complete after ${REQUEST_TIMEOUT} ms`;
        return Err(notRun(Reason.DeadlinePassed, detail));
      }
      case BodyFailure.Stopping:
        return Err(shuttingDown());
      case BodyFailure.SenderLeft:
        return null;
    }
  }

  /** Charges what the values of a body take before it is parsed. */
  #decodeText({ body, share }: IReceivedBody): Result<string, IRefusal> {
    const text = Buffer.from(body).toString("utf8");
    const { values, depth } = measureJson(text);
    if (depth > MAXIMUM_DEPTH) {
      const detail = `the body is nested deeper than ${MAXIMUM_DEPTH}`;
      return Err(notRun(Reason.BadRequest, detail));
    }
    if (share.resize(share.bytes + values * VALUE_SIZE)) {
      return Ok(text);
    }
    this.#parts.limits.record(ProcessLimit.RequestMemory);
    return Err(daemonFull());
  }

  /** Returns false if too many calls are open. */
  #admitCall(incoming: IncomingMessage, response: ServerResponse): boolean {
    if (this.#openCalls >= this.#parts.maximum.calls) {
      this.#parts.limits.record(ProcessLimit.OpenCalls);
      return false;
    }
    this.#openCalls += 1;
    response.once("close", () => {
      this.#openCalls -= 1;
    });
    this.#connections.recordCall(incoming, response);
    return true;
  }
}

function shuttingDown(): IRefusal {
  const detail = "this daemon is shutting down";
  return notRun(Reason.ShuttingDown, detail, SHUTDOWN_RETRY_AFTER);
}

function daemonFull(): IRefusal {
  const detail = "this daemon keeps as many requests as it may";
  return notRun(Reason.DaemonFull, detail, FULL_RETRY_AFTER);
}

function parseBody(text: string): Result<unknown, string> {
  try {
    return Ok(text === "" ? null : (JSON.parse(text) as unknown));
  } catch (error) {
    return Err(`the body is not JSON: ${String(error)}`);
  }
}

function readBearerToken(incoming: IncomingMessage): string {
  const [scheme, credential] = (incoming.headers.authorization ?? "").split(
    " ",
  );
  return scheme?.toLowerCase() === "bearer" ? (credential ?? "") : "";
}

/** The SHA-256 digest as lower-case hexadecimal. */
export function sha256Hex(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
