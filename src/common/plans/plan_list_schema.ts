/** Schemas of the two plan lists. */
import type { Result } from "ts-results-es";
import { z } from "zod";
import { durationSchema } from "./duration.ts";
import { checkDocument } from "./findings.ts";
import type { IContentIssue } from "./findings.ts";
import type { ICustomer, IFinding, IPlan } from "./types.ts";

const HIGHEST_PRIORITY = 9;

/**
 * Names occur in log lines, metrics and paths, so blanks and control characters
 * are invalid.
 */
const NAME_PATTERN = /^[\p{L}\p{N}][\p{L}\p{N}._-]{0,99}$/u;

const nameSchema = z
  .string()
  .regex(
    NAME_PATTERN,
    "expected a name of at most 100 letters, digits, '.', '_' and '-'",
  );

const customersSchema = z.strictObject({
  customers: z.array(
    z.strictObject({
      account: nameSchema,
      plan: nameSchema,
      credential_sha256: z
        .string()
        .regex(/^[0-9a-f]{64}$/, "expected 64 lower-case hexadecimal digits"),
    }),
  ),
});

const plansSchema = z.strictObject({
  plans: z.array(
    z.strictObject({
      plan: nameSchema,
      services: z.array(nameSchema),
      priority: z.number().int().min(0).max(HIGHEST_PRIORITY),
      requests_per_second: z.number().positive(),
      tokens_per_minute: z.number().positive(),
      requests_in_flight: z.number().int().positive(),
      deadline: durationSchema,
    }),
  ),
});

/**
 * Checks the customers list. Accounts and credentials must be unique: two
 * accounts with one credential would be billed for each other's calls.
 */
export function checkCustomers(
  source: string,
  text: string,
): Result<readonly ICustomer[], readonly IFinding[]> {
  const checked = checkDocument(source, text, {
    schema: customersSchema,
    findContentIssues: (content) => [
      ...findDuplicates(content, "customers", "account"),
      ...findDuplicates(content, "customers", "credential_sha256"),
    ],
  });
  return checked.map(({ content, positionOf }) =>
    content.customers.map((customer, index) => ({
      account: customer.account,
      plan: customer.plan,
      credentialDigest: customer.credential_sha256,
      planPosition: positionOf(["customers", index, "plan"]),
    })),
  );
}

/** Checks the plans list; plan names must be unique. */
export function checkPlans(
  source: string,
  text: string,
): Result<readonly IPlan[], readonly IFinding[]> {
  const checked = checkDocument(source, text, {
    schema: plansSchema,
    findContentIssues: (content) => findDuplicates(content, "plans", "plan"),
  });
  return checked.map(({ content }) =>
    content.plans.map((plan) => ({
      name: plan.plan,
      services: plan.services,
      priority: plan.priority,
      requestsPerSecond: plan.requests_per_second,
      tokensPerMinute: plan.tokens_per_minute,
      requestsInFlight: plan.requests_in_flight,
      deadline: plan.deadline,
    })),
  );
}

/** Reports customers whose plan does not exist, with their positions. */
export function findMissingPlans(
  source: string,
  customers: readonly ICustomer[],
  plans: ReadonlySet<string>,
): readonly IFinding[] {
  return customers.flatMap((customer, index) =>
    plans.has(customer.plan)
      ? []
      : [
          {
            source,
            ...customer.planPosition,
            path: `customers[${index}].plan`,
            message: `no plan is named ${customer.plan}`,
          },
        ],
  );
}

/** Reports entries whose value at a key duplicates that of an earlier entry. */
function findDuplicates(
  content: unknown,
  list: string,
  key: string,
): readonly IContentIssue[] {
  const entries = (content as Record<string, unknown> | null)?.[list];
  if (!Array.isArray(entries)) {
    return [];
  }
  const seen = new Set<unknown>();
  const issues: IContentIssue[] = [];
  entries.forEach((entry: Record<string, unknown> | null, index) => {
    const value = entry?.[key];
    if (typeof value === "string" && seen.has(value)) {
      const message = `${key} ${value} stands more than once`;
      issues.push({ path: [list, index, key], message });
    }
    seen.add(value);
  });
  return issues;
}
