/** Parses and checks YAML documents; findings carry their positions. */
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

/** Maximum aliases a document may expand; more are considered an alias bomb. */
const MAXIMUM_ALIASES = 20;

/** Maximum length of a document in characters; the platform's own limit. */
export const MAXIMUM_TEXT_LENGTH = 1_000_000;

/** Maximum findings reported for a document; further ones are only counted. */
const MAXIMUM_FINDINGS = 500;

/** Maximum nesting depth; lists and settings need four levels. */
const MAXIMUM_DEPTH = 32;

/** Matches a line whose list and key markers alone exceed the maximum depth. */
const DEEP_BLOCK_PATTERN = new RegExp(`^ *(?:[-?:] +){${MAXIMUM_DEPTH},}`, "m");

const TOO_DEEP_MESSAGE = `is nested deeper than ${MAXIMUM_DEPTH} levels`;

const DOCUMENT_START: ITextPosition = { line: 1, column: 1 };

type Path = readonly PropertyKey[];

/** An error that the schema cannot express, such as a duplicate entry. */
export interface IContentIssue {
  readonly path: Path;
  readonly message: string;
  /** True if the key itself is wrong rather than its value. */
  readonly isKey?: boolean;
}

/** A document that passed its checks. */
export interface ICheckedDocument<T> {
  readonly content: T;
  /** The position in the text of the entry at a path. */
  positionOf(path: Path): ITextPosition;
}

/** The checks to run on a document. */
export interface IDocumentChecks<T> {
  readonly schema: z.ZodType<T>;
  /** Checks the parsed content; also runs when the schema has findings. */
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

/** A parsed document whose content has not been checked yet. */
export interface IParsedDocument {
  readonly source: string;
  readonly document: Document;
  readonly lines: LineCounter;
  readonly content: unknown;
}

/**
 * Parses YAML with limits on size, depth and aliases. Nesting that exhausts the
 * stack, or aliases that expand to gigabytes, would otherwise end the process:
 * every daemon would restart each time it reads the list.
 */
export function parseYaml(
  source: string,
  text: string,
): Result<IParsedDocument, readonly IFinding[]> {
  if (text.length > MAXIMUM_TEXT_LENGTH) {
    return failWith(source, `longer than ${MAXIMUM_TEXT_LENGTH} characters`);
  }
  if (isNestedTooDeeply(text)) {
    return failWith(source, TOO_DEEP_MESSAGE);
  }
  const lines = new LineCounter();
  try {
    const document = parseDocument(text, { lineCounter: lines });
    if (document.errors.length > 0) {
      const errors = document.errors.map((error) => ({
        source,
        ...positionAt(lines, error.pos[0]),
        path: "",
        message: parserMessage(error),
      }));
      return Err(limitFindings(source, errors));
    }
    const options = { maxAliasCount: MAXIMUM_ALIASES };
    const content: unknown = document.toJS(options);
    return content === null || content === undefined
      ? failWith(source, "is empty")
      : Ok({ source, document, lines, content });
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return failWith(
      source,
      error instanceof RangeError ? TOO_DEEP_MESSAGE : message,
    );
  }
}

/**
 * Counts open brackets and runs of list markers before any recursive code
 * processes the text. The run time of the parser is quadratic in the depth: at
 * 100,000 brackets it would block every stream of the daemon for seconds.
 */
function isNestedTooDeeply(text: string): boolean {
  if (DEEP_BLOCK_PATTERN.test(text)) {
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
  const checked = checks.schema.safeParse(content, {
    error: describeMissingKey,
  });
  const issues = checked.success
    ? []
    : checked.error.issues.flatMap(splitUnknownKeys);
  const extra = checks.findContentIssues?.(content) ?? [];
  const positionOf = (path: Path) => findPosition(document, lines, { path });
  if (checked.success && extra.length === 0) {
    return Ok({ content: checked.data, positionOf });
  }
  const findings = [...issues, ...extra]
    .map(({ path, message, isKey }) => ({
      source,
      ...findPosition(document, lines, { path, isKey }),
      path: formatPath(path),
      message,
    }))
    .sort(comparePositions);
  return Err(limitFindings(source, findings));
}

/** Reports an absent key as missing, where zod reports it as undefined. */
function describeMissingKey(issue: {
  readonly code?: string;
  readonly input?: unknown;
}): string | undefined {
  const { code, input } = issue;
  const expected = "expected" in issue ? ` expected ${issue.expected}` : "";
  return code === "invalid_type" && input === undefined
    ? `is missing;${expected}`
    : undefined;
}

/** Splits an issue about unknown keys by key, so each has its own position. */
function splitUnknownKeys(issue: z.core.$ZodIssue): readonly IContentIssue[] {
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

/** The position of the deepest existing node on a path. */
function findPosition(
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
    const isKeyRequested = isKey && length === path.length;
    const node = isNode(value) && !isKeyRequested ? value : pair?.key;
    if (isNode(node) && node.range) {
      return positionAt(lines, node.range[0]);
    }
  }
  return DOCUMENT_START;
}

/** Converts an offset to a line and column, both starting at 1. */
function positionAt(lines: LineCounter, offset: number): ITextPosition {
  const { line, col } = lines.linePos(offset);
  return { line: Math.max(line, 1), column: Math.max(col, 1) };
}

function comparePositions(left: IFinding, right: IFinding): number {
  return left.line - right.line || left.column - right.column;
}

function limitFindings(
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

function failWith(
  source: string,
  message: string,
): Result<never, readonly IFinding[]> {
  return Err([documentFinding(source, message)]);
}

/** A finding about a file or object as a whole. */
export function documentFinding(source: string, message: string): IFinding {
  return { source, ...DOCUMENT_START, path: "", message };
}

/** Formats a path as `customers[2].plan`. */
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
 * Formats a finding as `file:line:column: path: message`. Control characters
 * are escaped so that a key from the file cannot control the terminal of the
 * reader.
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

/** The message of the parser without the position that it appends. */
function parserMessage(error: YAMLError): string {
  const first = error.message.split("\n", 1)[0] ?? "";
  return first.replace(/ at line \d+, column \d+:?$/, "");
}
