/** The form of the two plan lists. */
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { z } from "zod";
import { durationSchema } from "./duration.ts";
import { checkDocument } from "./findings.ts";
import type { ICustomer, IFinding, IPlan } from "./types.ts";

const HIGHEST_PRIORITY = 9;

const customersSchema = z.strictObject({
  customers: z.array(
    z.strictObject({
      account: z.string().min(1),
      plan: z.string().min(1),
      credential_sha256: z
        .string()
        .regex(/^[0-9a-f]{64}$/, "expected 64 lower-case hexadecimal digits"),
    }),
  ),
});

const plansSchema = z.strictObject({
  plans: z.array(
    z.strictObject({
      plan: z.string().min(1),
      services: z.array(z.string().min(1)),
      priority: z.number().int().min(0).max(HIGHEST_PRIORITY),
      requests_per_second: z.number().positive(),
      tokens_per_minute: z.number().positive(),
      requests_in_flight: z.number().int().positive(),
      deadline: durationSchema,
    }),
  ),
});

/** Checks the customers list; an account may stand only once. */
export function checkCustomers(
  source: string,
  text: string,
): Result<readonly ICustomer[], readonly IFinding[]> {
  const unique = customersSchema.superRefine((content, context) => {
    reportRepeats(
      content.customers.map((customer) => customer.account),
      (index, name) =>
        context.addIssue({
          code: "custom",
          path: ["customers", index, "account"],
          message: `client account ${name} stands more than once`,
        }),
    );
  });
  const checked = checkDocument(source, text, unique);
  if (checked.isErr()) {
    return Err(checked.error);
  }
  return Ok(
    checked.value.customers.map((customer) => ({
      account: customer.account,
      plan: customer.plan,
      credentialDigest: customer.credential_sha256,
    })),
  );
}

/** Checks the plans list; a plan may stand only once. */
export function checkPlans(
  source: string,
  text: string,
): Result<readonly IPlan[], readonly IFinding[]> {
  const unique = plansSchema.superRefine((content, context) => {
    reportRepeats(
      content.plans.map((plan) => plan.plan),
      (index, name) =>
        context.addIssue({
          code: "custom",
          path: ["plans", index, "plan"],
          message: `plan ${name} stands more than once`,
        }),
    );
  });
  const checked = checkDocument(source, text, unique);
  if (checked.isErr()) {
    return Err(checked.error);
  }
  return Ok(
    checked.value.plans.map((plan) => ({
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

function reportRepeats(
  names: readonly string[],
  report: (index: number, name: string) => void,
): void {
  const seen = new Set<string>();
  names.forEach((name, index) => {
    if (seen.has(name)) {
      report(index, name);
    }
    seen.add(name);
  });
}
