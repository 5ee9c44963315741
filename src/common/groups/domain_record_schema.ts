/**
 * Validates a domain record read from the platform, since people may have
 * edited it.
 */
import { z } from "zod";
import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { formatPath } from "../plans/findings.ts";
import type { IFinding } from "../plans/types.ts";
import type { IDomainRecord } from "./types.ts";

/** The kind of platform object that holds domain records. */
export const DOMAIN_KIND = "fabric_domains";

const groupSchema = z.strictObject({
  id: z.string().min(1),
  service: z.string().min(1),
  model: z.string(),
  generation: z.number().int().positive(),
  epoch: z.number().int().nonnegative(),
  members: z.array(z.string().min(1)).min(1),
  incarnations: z.array(z.string()),
});

const recordSchema = z
  .strictObject({
    domain: z.string().min(1),
    epoch: z.number().int().nonnegative(),
    holder: z.string().min(1).nullable(),
    attempt: z.string(),
    nextGroup: z.number().int().positive(),
    groups: z.array(groupSchema),
  })
  .superRefine((record, context) => {
    const seen = new Set<string>();
    record.groups.forEach((group, index) => {
      if (group.incarnations.length !== group.members.length) {
        context.addIssue({
          code: "custom",
          path: ["groups", index, "incarnations"],
          message: "expected one incarnation for each member",
        });
      }
      for (const member of group.members) {
        if (seen.has(member)) {
          context.addIssue({
            code: "custom",
            path: ["groups", index, "members"],
            message: `instance ${member} is a member in two places`,
          });
        }
        seen.add(member);
      }
    });
  });

/**
 * The record, or the findings about it; an invalid record is never overwritten.
 */
export function checkDomainRecord(
  name: string,
  value: unknown,
): Result<IDomainRecord, readonly IFinding[]> {
  const checked = recordSchema.safeParse(value);
  if (checked.success) {
    return Ok(checked.data);
  }
  return Err(
    checked.error.issues.map((issue) => ({
      source: `${DOMAIN_KIND}/${name}`,
      line: 1,
      column: 1,
      path: formatPath(issue.path),
      message: issue.message,
    })),
  );
}
