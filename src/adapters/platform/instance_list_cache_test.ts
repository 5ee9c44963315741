/** The list of instances: fetched when changed, and never taken half. */
import { expect } from "chai";
import { InstanceListCache } from "./instance_list_cache.ts";

const ENTRY = {
  id: "engine-1",
  zone: "zone",
  domain: "domain",
  address: "10.0.0.1:80",
  state: "live",
  kind: "engine",
  service: "",
};

function listed(tag: string | null, ...instances: readonly object[]) {
  return { status: 200, body: { instances }, tag };
}

describe("instance list", () => {
  it("asks by the last tag, and keeps an unchanged list", () => {
    const list = new InstanceListCache();
    expect(list.requestHeaders).to.deep.equal({});
    const first = list.update(listed('"7"', ENTRY)).unwrap();
    expect(list.requestHeaders).to.deep.equal({ "if-none-match": '"7"' });
    const second = list.update({ status: 304, body: null, tag: null }).unwrap();
    expect(second).to.equal(first);
  });

  it("reads the list whole where the platform tells no tag", () => {
    const list = new InstanceListCache();
    list.update(listed(null, ENTRY));
    expect(list.requestHeaders).to.deep.equal({});
  });

  // Somebody edits an entry by hand and leaves the address out. Taken as it
  // is, the daemon would poll nowhere and count the instance as lost; users
  // would notice groups that are torn down for no fault of theirs.
  it("says where a list does not parse, and goes on by the last good one", () => {
    const list = new InstanceListCache();
    list.update(listed('"7"', ENTRY));
    const bad = { ...ENTRY, address: undefined };
    const refused = list.update(listed('"8"', ENTRY, bad)).unwrapErr();
    expect(refused.detail).to.include("instances[1].address");
    expect(list.requestHeaders).to.deep.equal({ "if-none-match": '"7"' });
  });
});
