/**
 * Handlers that tell a connection's input what of it belongs to an answer. The
 * HTTP client has two kinds of handlers: `request` brings one with callbacks,
 * other callers one with a controller.
 */
import { errors } from "undici";
import type { Dispatcher } from "undici";
import {
  AnswerBound,
  AnswerBoundError,
} from "../../common/calls/answer_bounds.ts";
import type { AnswerInput } from "./answer_input.ts";

type Handler = Dispatcher.DispatchHandler;
type Callbacks = Required<
  Pick<Handler, "onConnect" | "onHeaders" | "onData" | "onComplete" | "onError">
>;

const LENGTH_NAME = "content-length";
const CODING_NAME = "transfer-encoding";

const STATUS_OK = 200;
const STATUS_REDIRECT = 300;

/** Fields of a head; each takes far more memory than its bytes. */
const MAXIMUM_FIELDS = 1_000;

/** Where a guard reports what the parser has found. */
export interface IAnswerGuardParts {
  /** The input of the connection; null before it is connected. */
  readonly input: () => AnswerInput | null;
  /** Called when a head has too many fields. */
  readonly onExceeded: (bound: AnswerBound) => void;
  /** Whether connections are closed after answers other than successes. */
  readonly closesAfterFailures: boolean;
}

/** Returns a handler that passes everything on to the given one. */
export function guardAnswer(
  handler: Handler,
  parts: IAnswerGuardParts,
): Handler {
  return handler.onRequestStart === undefined
    ? new CallbackGuard(handler as Callbacks, parts)
    : new ControllerGuard(handler, parts);
}

class ControllerGuard implements Handler {
  readonly #handler: Handler;
  readonly #parts: IAnswerGuardParts;
  #status = 0;

  constructor(handler: Handler, parts: IAnswerGuardParts) {
    this.#handler = handler;
    this.#parts = parts;
  }

  onRequestStart(...call: Parameters<Required<Handler>["onRequestStart"]>) {
    this.#parts.input()?.recordStart();
    this.#handler.onRequestStart?.(...call);
  }

  onResponseStart(...call: Parameters<Required<Handler>["onResponseStart"]>) {
    const [, status, headers] = call;
    this.#status = status;
    const hasLength =
      headers[LENGTH_NAME] !== undefined || isChunked(headers[CODING_NAME]);
    recordHead(
      status,
      { fields: countFields(headers), hasLength },
      this.#parts,
    );
    this.#handler.onResponseStart?.(...call);
  }

  onResponseData(...call: Parameters<Required<Handler>["onResponseData"]>) {
    const [, chunk] = call;
    this.#parts.input()?.recordContent(chunk.length);
    this.#handler.onResponseData?.(...call);
  }

  onResponseEnd(...call: Parameters<Required<Handler>["onResponseEnd"]>) {
    recordEnd(this.#status, this.#parts);
    this.#handler.onResponseEnd?.(...call);
  }

  onResponseError(...call: Parameters<Required<Handler>["onResponseError"]>) {
    const [, error] = call;
    recordError(error, this.#parts);
    this.#handler.onResponseError?.(...call);
  }
}

class CallbackGuard implements Callbacks {
  readonly #handler: Callbacks;
  readonly #parts: IAnswerGuardParts;
  #status = 0;

  constructor(handler: Callbacks, parts: IAnswerGuardParts) {
    this.#handler = handler;
    this.#parts = parts;
  }

  onConnect(...call: Parameters<Callbacks["onConnect"]>) {
    this.#parts.input()?.recordStart();
    this.#handler.onConnect(...call);
  }

  onHeaders(...call: Parameters<Callbacks["onHeaders"]>): boolean {
    const [status, names, resume, text] = call;
    this.#status = status;
    const head = { fields: names.length / 2, hasLength: hasRawLength(names) };
    recordHead(status, head, this.#parts);
    const resumeInput = () => {
      this.#parts.input()?.recordResume();
      resume();
    };
    const goesOn = this.#handler.onHeaders(status, names, resumeInput, text);
    return this.#recordPause(goesOn);
  }

  onData(...call: Parameters<Callbacks["onData"]>): boolean {
    const [chunk] = call;
    this.#parts.input()?.recordContent(chunk.length);
    return this.#recordPause(this.#handler.onData(...call));
  }

  onComplete(...call: Parameters<Callbacks["onComplete"]>) {
    recordEnd(this.#status, this.#parts);
    this.#handler.onComplete(...call);
  }

  onError(...call: Parameters<Callbacks["onError"]>) {
    const [error] = call;
    recordError(error, this.#parts);
    this.#handler.onError(...call);
  }

  /** The parser pauses unless its handler goes on. */
  #recordPause(goesOn: boolean): boolean {
    // Provisional heads return nothing.
    if ((goesOn as boolean | undefined) === false) {
      this.#parts.input()?.recordPause();
    }
    return goesOn;
  }
}

/** @throws {AnswerBoundError} if the head has too many fields */
function recordHead(
  status: number,
  { fields, hasLength }: { fields: number; hasLength: boolean },
  { input, onExceeded }: IAnswerGuardParts,
): void {
  if (fields > MAXIMUM_FIELDS) {
    onExceeded(AnswerBound.Fields);
    throw new AnswerBoundError(AnswerBound.Fields);
  }
  // The final head is still to come after a provisional one.
  if (status >= STATUS_OK) {
    input()?.recordHead(hasLength);
  }
}

/**
 * A target may repeat an answer where the next one is expected. The second copy
 * of a failure, which may name no request, would be read as that of another one.
 */
function recordEnd(
  status: number,
  { input, closesAfterFailures }: IAnswerGuardParts,
): void {
  input()?.recordEnd();
  const isSuccess = status >= STATUS_OK && status < STATUS_REDIRECT;
  if (closesAfterFailures && !isSuccess) {
    input()?.closeAfterAnswer();
  }
}

/** The HTTP client has a bound of its own on names and values of heads. */
function recordError(error: Error, { onExceeded }: IAnswerGuardParts): void {
  if (error instanceof errors.HeadersOverflowError) {
    onExceeded(AnswerBound.Framing);
  }
}

function countFields(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): number {
  let count = 0;
  for (const value of Object.values(headers)) {
    count += Array.isArray(value) ? value.length : 1;
  }
  return count;
}

/**
 * Whether an answer is framed: by a length or in chunks.
 *
 * @param fields - of its head, names and values in turn
 */
function hasRawLength(fields: readonly Buffer[]): boolean {
  let codings: string | undefined;
  for (let index = 0; index < fields.length; index += 2) {
    const name = fields[index];
    if (isNamed(name, LENGTH_NAME)) {
      return true;
    }
    if (isNamed(name, CODING_NAME)) {
      codings = fields[index + 1]?.toString("latin1");
    }
  }
  return isChunked(codings);
}

function isNamed(name: Buffer | undefined, expected: string): boolean {
  return (
    name?.length === expected.length &&
    name.toString("latin1").toLowerCase() === expected
  );
}

/** Chunks frame an answer only if no other coding follows. */
function isChunked(codings: string | string[] | undefined): boolean {
  const line = Array.isArray(codings) ? codings.at(-1) : codings;
  const last = line?.split(",").at(-1)?.trim();
  return last?.toLowerCase() === "chunked";
}
