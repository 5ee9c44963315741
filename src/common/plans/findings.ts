/** Turns a checked document's problems into findings with their place. */
import {
  isMap,
  isNode,
  isScalar,
  Lexer,
  LineCounter,
  parseDocument,
} from "yaml";
import type { Document, YAMLError } from "yaml";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { z } from "zod";
import type { IFinding, ITextPosition } from "./types.ts";

/** Aliases a document may expand; more is taken for an alias bomb. */
const MAXIMUM_ALIASES = 20;

/** The largest text that is read, in characters: the platform's bound. */
export const MAXIMUM_TEXT_LENGTH = 1_000_000;

/** Findings told of one document; a larger number is only counted. */
const MAXIMUM_FINDINGS = 500;

/** Levels a document may nest; lists and settings need four. */
const MAXIMUM_DEPTH = 32;

/** A line that opens more levels than that by its list and key marks. */
const DEEP_BLOCKS = new RegExp(`^ *(?:[-?:] +){${MAXIMUM_DEPTH},}`, "m");

const TOO_DEEP = `is nested deeper than ${MAXIMUM_DEPTH} levels`;

const START: ITextPosition = { line: 1, column: 1 };

type Path = readonly PropertyKey[];

/** Something wrong at a path that the schema cannot say, such as a repeat. */
export interface IContentIssue {
  readonly path: Path;
  readonly message: string;
  /** True where the key itself is wrong, not what stands under it. */
  readonly isKey?: boolean;
}

/** A document that passed its checks. */
export interface ICheckedDocument<T> {
  readonly content: T;
  /** Where the entry at a path stands in the text. */
  placeOf(path: Path): ITextPosition;
}

/** How a document is checked. */
export interface IDocumentChecks<T> {
  readonly schema: z.ZodType<T>;
  /** Looks at the content as parsed, also when the schema has findings. */
  readonly findContentIssues?: (content: unknown) => readonly IContentIssue[];
}

/**
 * Parses YAML and checks it, reporting all findings at once.
 *
 * @param source - the name shown in findings
 * @param text - the document
 */
export function checkDocument<T>(
  source: string,
  text: string,
  checks: IDocumentChecks<T>,
): Result<ICheckedDocument<T>, readonly IFinding[]> {
  return parseYaml(source, text).andThen((parsed) =>
    checkContent(parsed, checks),
  );
}

/** A parsed document whose content is not checked yet. */
export interface IParsedDocument {
  readonly source: string;
  readonly document: Document;
  readonly lines: LineCounter;
  readonly content: unknown;
}

/**
 * Parses YAML within bounds. Nesting deep enough to exhaust the stack and
 * aliases that expand to gigabytes would otherwise end the process, which
 * callers would notice as every daemon restarting at each read of the list.
 */
export function parseYaml(
  source: string,
  text: string,
): Result<IParsedDocument, readonly IFinding[]> {
  if (text.length > MAXIMUM_TEXT_LENGTH) {
    return fail(source, `longer than ${MAXIMUM_TEXT_LENGTH} characters`);
  }
  if (isNestedTooDeeply(text)) {
    return fail(source, TOO_DEEP);
  }
  const lines = new LineCounter();
  try {
    const document = parseDocument(text, { lineCounter: lines });
    if (document.errors.length > 0) {
      const errors = document.errors.map((error) => ({
        source,
        ...place(lines, error.pos[0]),
        path: "",
        message: messageOf(error),
      }));
      return Err(bounded(source, errors));
    }
    const options = { maxAliasCount: MAXIMUM_ALIASES };
    const content: unknown = document.toJS(options);
    return content === null || content === undefined
      ? fail(source, "is empty")
      : Ok({ source, document, lines, content });
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return fail(source, error instanceof RangeError ? TOO_DEEP : message);
  }
}

/**
 * Counts open brackets and runs of list marks before anything recursive sees
 * the text. The parser's work grows with the square of the depth: at 100,000
 * brackets it would hold up every stream of the daemon for seconds.
 */
function isNestedTooDeeply(text: string): boolean {
  if (DEEP_BLOCKS.test(text)) {
    return true;
  }
  let depth = 0;
  for (const token of new Lexer().lex(text)) {
    if (token === "[" || token === "{") {
      depth += 1;
    } else if (token === "]" || token === "}") {
      depth -= 1;
    }
    if (depth > MAXIMUM_DEPTH) {
      return true;
    }
  }
  return false;
}

function checkContent<T>(
  parsed: IParsedDocument,
  checks: IDocumentChecks<T>,
): Result<ICheckedDocument<T>, readonly IFinding[]> {
  const { source, document, lines, content } = parsed;
  const checked = checks.schema.safeParse(content, { error: explain });
  const issues = checked.success ? [] : checked.error.issues.flatMap(unfold);
  const extra = checks.findContentIssues?.(content) ?? [];
  const placeOf = (path: Path) => locate(document, lines, { path });
  if (checked.success && extra.length === 0) {
    return Ok({ content: checked.data, placeOf });
  }
  const findings = [...issues, ...extra]
    .map(({ path, message, isKey }) => ({
      source,
      ...locate(document, lines, { path, isKey }),
      path: formatPath(path),
      message,
    }))
    .sort(byPlace);
  return Err(bounded(source, findings));
}

/** Says of an absent key that it is missing, where zod says "undefined". */
function explain(issue: {
  readonly code?: string;
  readonly input?: unknown;
}): string | undefined {
  const { code, input } = issue;
  const expected = "expected" in issue ? ` expected ${issue.expected}` : "";
  return code === "invalid_type" && input === undefined
    ? `is missing;${expected}`
    : undefined;
}

/** One issue a key for keys that no one knows, so that each has its place. */
function unfold(issue: z.core.$ZodIssue): readonly IContentIssue[] {
  if (issue.code !== "unrecognized_keys") {
    const { path, message } = issue;
    return [{ path, message }];
  }
  return issue.keys.map((key) => ({
    path: [...issue.path, key],
    message: "is not a known key",
    isKey: true,
  }));
}

/** The place of the deepest node on a path that exists. */
function locate(
  document: Document,
  lines: LineCounter,
  subject: { readonly path: Path; readonly isKey?: boolean },
): ITextPosition {
  const { path, isKey = false } = subject;
  for (let length = path.length; length > 0; length--) {
    const parent = document.getIn(path.slice(0, length - 1), true);
    const step = path[length - 1];
    const pair = isMap(parent)
      ? parent.items.find(({ key }) => isScalar(key) && key.value === step)
      : undefined;
    const value = document.getIn(path.slice(0, length), true);
    const isWanted = isKey && length === path.length;
    const node = isNode(value) && !isWanted ? value : pair?.key;
    if (isNode(node) && node.range) {
      return place(lines, node.range[0]);
    }
  }
  return START;
}

/** A position in the text as line and column, both from 1. */
function place(lines: LineCounter, offset: number): ITextPosition {
  const { line, col } = lines.linePos(offset);
  return { line: Math.max(line, 1), column: Math.max(col, 1) };
}

function byPlace(left: IFinding, right: IFinding): number {
  return left.line - right.line || left.column - right.column;
}

function bounded(
  source: string,
  findings: readonly IFinding[],
): readonly IFinding[] {
  const rest = findings.length - MAXIMUM_FINDINGS;
  if (rest <= 0) {
    return findings;
  }
  const more = documentFinding(source, `and ${rest} more findings`);
  return [...findings.slice(0, MAXIMUM_FINDINGS), more];
}

function fail(
  source: string,
  message: string,
): Result<never, readonly IFinding[]> {
  return Err([documentFinding(source, message)]);
}

/** A finding about a file or object as a whole. */
export function documentFinding(source: string, message: string): IFinding {
  return { source, ...START, path: "", message };
}

/** Writes a path as `customers[2].plan`. */
export function formatPath(path: Path): string {
  let text = "";
  for (const step of path) {
    if (typeof step === "number") {
      text += `[${step}]`;
    } else {
      text += text === "" ? String(step) : `.${String(step)}`;
    }
  }
  return text;
}

/**
 * Writes a finding as `file:line:column: path: message`. Control characters
 * are escaped: a key from the file must not drive the reader's terminal.
 */
export function formatFinding(finding: IFinding): string {
  const { source, line, column, path, message } = finding;
  const subject = path === "" ? "" : `${path}: `;
  return escapeControls(`${source}:${line}:${column}: ${subject}${message}`);
}

function escapeControls(text: string): string {
  return text.replace(/\p{Cc}/gu, (character) =>
    JSON.stringify(character).slice(1, -1),
  );
}

/** The parser's message without its own account of the place. */
function messageOf(error: YAMLError): string {
  const first = error.message.split("\n", 1)[0] ?? "";
  return first.replace(/ at line \d+, column \d+:?$/, "");
}
