import { expect } from "chai";
import fc from "fast-check";
import { formatFinding } from "./findings.ts";
import { OfferResult, EffectivePlans } from "./effective_plans.ts";
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

describe("plan book", () => {
  /**
   * Reads may be stale, watch events late, peers behind, and any version may
   * be bad. Whatever the order of offers, what is in force must never go back
   * and must end as the newest good version, or customers see limits flip.
   */
  it("keeps the newest good version under any order of offers", () => {
    const offers = fc.array(fc.integer({ min: 1, max: 12 }), {
      minLength: 1,
      maxLength: 40,
    });
    const bad = fc.uniqueArray(fc.integer({ min: 1, max: 12 }));
    const property = fc.property(offers, bad, (versions, badVersions) => {
      const book = new EffectivePlans();
      for (const version of versions) {
        const before = book.version(Plans) ?? 0;
        const isBad = badVersions.includes(version);
        const text = isBad ? "plans: 5" : plansText(`plan-${version}`);
        const adoption = book.offer({ list: Plans, version, text });
        expect(book.version(Plans) ?? 0).to.be.at.least(before);
        const isAdopted = !isBad && version > before;
        expect(adoption === OfferResult.Adopted).to.equal(isAdopted);
      }
      const good = versions.filter((version) => !badVersions.includes(version));
      const newest = Math.max(0, ...good);
      expect(book.version(Plans) ?? 0).to.equal(newest);
      const newestBad = versions.some(
        (version) => version > newest && badVersions.includes(version),
      );
      expect(book.findings.length > 0).to.equal(newestBad);
    });
    fc.assert(property, { seed: 4001, numRuns: 500 });
  });

  it("takes the last good list after a newer bad one", () => {
    const book = new EffectivePlans();
    const bad = { list: Plans, version: 9, text: "plans: {" };
    expect(book.offer(bad)).to.equal(OfferResult.Refused);
    expect(book.offer(bad)).to.equal(OfferResult.NotNewer);
    const good = { list: Plans, version: 8, text: plansText("bench") };
    expect(book.offer(good)).to.equal(OfferResult.Adopted);
    expect(book.newestRefused(Plans)?.version).to.equal(9);
  });

  it("keeps a customer's last good entry when its plan is gone", () => {
    const book = new EffectivePlans();
    const customers = { list: Customers, text: customersText("bench") };
    book.offer({ ...customers, version: 1 });
    book.offer({ list: Plans, version: 2, text: plansText("bench") });
    expect(book.findByCredential(DIGEST)?.plan.name).to.equal("bench");
    book.offer({ list: Plans, version: 3, text: plansText("other") });
    expect(book.version(Plans)).to.equal(3);
    expect(book.findByCredential(DIGEST)?.plan.name).to.equal("bench");
    expect(book.findings.map(formatFinding)).to.deep.equal([
      "customers:3:11: customers[0].plan: no plan is named bench",
    ]);
    const other = { list: Customers, text: customersText("other") };
    book.offer({ ...other, version: 4 });
    expect(book.findByCredential(DIGEST)?.plan.name).to.equal("other");
    expect(book.findings).to.have.length(0);
  });

  it("gives a credential to the account that has it now", () => {
    const book = new EffectivePlans();
    book.offer({ list: Plans, version: 1, text: plansText("bench") });
    const first = customersText("bench");
    book.offer({ list: Customers, version: 2, text: first });
    const moved =
      customersText("gone", "1".repeat(64)) +
      customersText("bench")
        .replace("customers:\n", "")
        .replace("account: desk", "account: other");
    book.offer({ list: Customers, version: 3, text: moved });
    const entry = book.findByCredential(DIGEST);
    expect(entry?.customer.account).to.equal("other");
  });
});
