/** The instance list is fetched only if changed, and stored only if valid. */
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
  it("sends the last ETag and keeps an unchanged list", () => {
    const list = new InstanceListCache();
    expect(list.requestHeaders).to.deep.equal({});
    const first = list.update(listed('"7"', ENTRY)).unwrap();
    expect(list.requestHeaders).to.deep.equal({ "if-none-match": '"7"' });
    const second = list.update({ status: 304, body: null, tag: null }).unwrap();
    expect(second).to.equal(first);
  });

  it("fetches the full list when the platform sends no ETag", () => {
    const list = new InstanceListCache();
    list.update(listed(null, ENTRY));
    expect(list.requestHeaders).to.deep.equal({});
  });

  // Guards against an entry without an address, as after a manual edit: the
  // daemon would consider its instance lost and dissolve a healthy group.
  it("reports where a list is invalid and keeps the last valid one", () => {
    const list = new InstanceListCache();
    list.update(listed('"7"', ENTRY));
    const bad = { ...ENTRY, address: undefined };
    const refused = list.update(listed('"8"', ENTRY, bad)).unwrapErr();
    expect(refused.detail).to.include("instances[1].address");
    expect(list.requestHeaders).to.deep.equal({ "if-none-match": '"7"' });
  });
});
