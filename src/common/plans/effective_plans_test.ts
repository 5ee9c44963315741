import { expect } from "chai";
import fc from "fast-check";
import { formatFinding } from "./findings.ts";
import { EffectivePlans, OfferResult } from "./effective_plans.ts";
import { PlanListName } from "./types.ts";

const { Customers, Plans } = PlanListName;
const DIGEST = "0".repeat(64);

function plansText(...names: readonly string[]): string {
  const entries = names.map(
    (name) => `  - plan: ${name}
    services: [summarizer]
    priority: 5
    requests_per_second: 1
    tokens_per_minute: 1
    requests_in_flight: 1
    deadline: 5s
`,
  );
  return `plans:\n${entries.join("")}`;
}

function customersText(plan: string, digest = DIGEST): string {
  return `customers:
  - account: desk
    plan: ${plan}
    credential_sha256: "${digest}"
`;
}

describe("effective plans", () => {
  /**
   * Guards against limits that flip for customers: reads may be stale, watch
   * events late, peers behind, and any version may be invalid. Whatever the
   * order of offers, the version in force must never go back and must end as
   * the newest valid one.
   */
  it("ends with the newest valid version for any order of offers", () => {
    const offers = fc.array(fc.integer({ min: 1, max: 12 }), {
      minLength: 1,
      maxLength: 40,
    });
    const bad = fc.uniqueArray(fc.integer({ min: 1, max: 12 }));
    const property = fc.property(offers, bad, (versions, badVersions) => {
      const effective = new EffectivePlans();
      for (const version of versions) {
        const before = effective.version(Plans) ?? 0;
        const isBad = badVersions.includes(version);
        const text = isBad ? "plans: 5" : plansText(`plan-${version}`);
        const adoption = effective.offer({ list: Plans, version, text });
        expect(effective.version(Plans) ?? 0).to.be.at.least(before);
        const isAdopted = !isBad && version > before;
        expect(adoption === OfferResult.Adopted).to.equal(isAdopted);
      }
      const good = versions.filter((version) => !badVersions.includes(version));
      const newest = Math.max(0, ...good);
      expect(effective.version(Plans) ?? 0).to.equal(newest);
      const newestBad = versions.some(
        (version) => version > newest && badVersions.includes(version),
      );
      expect(effective.findings.length > 0).to.equal(newestBad);
    });
    fc.assert(property, { seed: 4001, numRuns: 500 });
  });

  it("adopts the last valid version after a newer invalid one", () => {
    const effective = new EffectivePlans();
    const bad = { list: Plans, version: 9, text: "plans: {" };
    expect(effective.offer(bad)).to.equal(OfferResult.Refused);
    expect(effective.offer(bad)).to.equal(OfferResult.NotNewer);
    const good = { list: Plans, version: 8, text: plansText("bench") };
    expect(effective.offer(good)).to.equal(OfferResult.Adopted);
    expect(effective.newestRefused(Plans)?.version).to.equal(9);
  });

  it("retains a customer's last valid entry when its plan is removed", () => {
    const effective = new EffectivePlans();
    const customers = { list: Customers, text: customersText("bench") };
    effective.offer({ ...customers, version: 1 });
    effective.offer({ list: Plans, version: 2, text: plansText("bench") });
    expect(effective.findByCredential(DIGEST)?.plan.name).to.equal("bench");
    effective.offer({ list: Plans, version: 3, text: plansText("other") });
    expect(effective.version(Plans)).to.equal(3);
    expect(effective.findByCredential(DIGEST)?.plan.name).to.equal("bench");
    expect(effective.findings.map(formatFinding)).to.deep.equal([
      "customers:3:11: customers[0].plan: no plan is named bench",
    ]);
    const other = { list: Customers, text: customersText("other") };
    effective.offer({ ...other, version: 4 });
    expect(effective.findByCredential(DIGEST)?.plan.name).to.equal("other");
    expect(effective.findings).to.have.length(0);
  });

  it("assigns a credential to the account that owns it now", () => {
    const effective = new EffectivePlans();
    effective.offer({ list: Plans, version: 1, text: plansText("bench") });
    const first = customersText("bench");
    effective.offer({ list: Customers, version: 2, text: first });
    const moved =
      customersText("gone", "1".repeat(64)) +
      customersText("bench")
        .replace("customers:\n", "")
        .replace("account: desk", "account: other");
    effective.offer({ list: Customers, version: 3, text: moved });
    const entry = effective.findByCredential(DIGEST);
    expect(entry?.customer.account).to.equal("other");
  });
});
