/**
 * The parts of a prompt that other requests may share: its sections, which blank
 * lines separate. The last one belongs to the request itself.
 */
import { z } from "zod";
import type { ICallerRequest } from "./types.ts";

/** Sections of one prompt that are looked at; later ones are left out. */
const MAXIMUM_PARTS = 64;

/** Characters of a digest that identify a part. */
const DIGEST_LENGTH = 16;

const SECTION_END = /\n[ \t]*\n\s*/;

const promptSchema = z.object({ prompt: z.string() });

/** The parts of one prompt. */
export interface IPromptParts {
  /** Digests of the sections that other requests may share. */
  readonly shared: readonly string[];
  /** Digest of the whole prompt; null without one. */
  readonly digest: string | null;
}

/** Identifies parts by digests, so that logs and records hold no prompts. */
export class PromptParts {
  readonly #digest: (text: string) => string;
  /** The parts of requests that are being served. */
  readonly #known = new WeakMap<ICallerRequest, IPromptParts>();

  constructor(digest: (text: string) => string) {
    this.#digest = digest;
  }

  of(request: ICallerRequest): IPromptParts {
    let parts = this.#known.get(request);
    if (parts === undefined) {
      parts = this.#compute(request.body);
      this.#known.set(request, parts);
    }
    return parts;
  }

  #compute(body: unknown): IPromptParts {
    const parsed = promptSchema.safeParse(body);
    if (!parsed.success) {
      return { shared: [], digest: null };
    }
    const prompt = parsed.data.prompt.trim();
    const sections = prompt.split(SECTION_END).slice(0, -1);
    const parts = sections
      .slice(0, MAXIMUM_PARTS)
      .map((section) => this.#digest(section).slice(0, DIGEST_LENGTH));
    return { shared: [...new Set(parts)], digest: this.#digest(prompt) };
  }
}
