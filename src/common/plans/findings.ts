/** Turns a checked document's problems into findings with their place. */
import { LineCounter, parseDocument, isNode } from "yaml";
import type { Document } from "yaml";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import type { z } from "zod";
import type { IFinding } from "./types.ts";

/** Aliases a document may expand; more is taken for an alias bomb. */
const MAXIMUM_ALIASES = 20;

/** The largest text that is read, in characters: the platform's bound. */
export const MAXIMUM_TEXT = 1_000_000;

/**
 * Parses YAML and checks it against a schema, reporting all findings at once.
 *
 * @param source - the name shown in findings
 * @param text - the document
 */
export function checkDocument<T>(
  source: string,
  text: string,
  schema: z.ZodType<T>,
): Result<T, readonly IFinding[]> {
  if (text.length > MAXIMUM_TEXT) {
    const message = `longer than ${MAXIMUM_TEXT} characters`;
    return Err([{ source, line: 1, column: 1, path: "", message }]);
  }
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines });
  const syntax = document.errors.map((error) => ({
    source,
    ...place(lines, error.pos[0]),
    path: "",
    message: firstLine(error.message),
  }));
  if (syntax.length > 0) {
    return Err(syntax);
  }
  return checkContent({ source, document, lines }, schema);
}

interface IParsedDocument {
  readonly source: string;
  readonly document: Document;
  readonly lines: LineCounter;
}

function checkContent<T>(
  parsed: IParsedDocument,
  schema: z.ZodType<T>,
): Result<T, readonly IFinding[]> {
  const { source, document, lines } = parsed;
  let content: unknown;
  try {
    content = document.toJS({ maxAliasCount: MAXIMUM_ALIASES });
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return Err([{ source, line: 1, column: 1, path: "", message }]);
  }
  const checked = schema.safeParse(content);
  if (checked.success) {
    return Ok(checked.data);
  }
  return Err(
    checked.error.issues.map((issue) => ({
      source,
      ...locate(document, lines, issue.path),
      path: formatPath(issue.path),
      message: issue.message,
    })),
  );
}

/** The place of the deepest node on a path that exists. */
function locate(
  document: Document,
  lines: LineCounter,
  path: readonly PropertyKey[],
): { line: number; column: number } {
  for (let length = path.length; length > 0; length--) {
    const node = document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) {
      return place(lines, node.range[0]);
    }
  }
  return { line: 1, column: 1 };
}

/** A position in the text as line and column, both from 1. */
export function place(
  lines: LineCounter,
  offset: number,
): { line: number; column: number } {
  const { line, col } = lines.linePos(offset);
  return { line: Math.max(line, 1), column: Math.max(col, 1) };
}

/** Writes a path as `customers[2].plan`. */
export function formatPath(path: readonly PropertyKey[]): string {
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

/** Writes a finding as `file:line:column: path: message`. */
export function formatFinding(finding: IFinding): string {
  const { source, line, column, path, message } = finding;
  const subject = path === "" ? "" : `${path}: `;
  return `${source}:${line}:${column}: ${subject}${message}`;
}

function firstLine(text: string): string {
  return text.split("\n", 1)[0] ?? text;
}
