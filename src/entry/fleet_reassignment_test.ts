/** Groups that are closed so that their members can serve another model. */
import { expect } from "chai";
import { TestDeployment } from "../../test/support/fleet_deployment.ts";
import { startProcess } from "../../test/support/held_orders.ts";
import { OrderKind } from "../common/replicas/types.ts";

/** Milliseconds until the groups of a first start serve. */
const START_TIME = 5_000;

/** Milliseconds in which one group of each model may be closed and formed. */
const RUN_TIME = 20_000;

/** Groups of the small model that may be closed in that time. */
const MAXIMUM_CLOSED = 3;

describe("reassigning engines to a model that is short", () => {
  // Guards against calls that wait while engines join and leave without end:
  // groups of the other model are closed for it, and others are formed of the
  // engines that were free.
  it("does not form the model again whose groups it closes", async () => {
    const deployment = new TestDeployment();
    const { engines } = deployment;
    const holder = startProcess(deployment, "10.0.0.1:1");
    await deployment.advance(START_TIME);
    holder.hasCalls = true;
    await deployment.advance(START_TIME);
    const { membership } = engines.states.get(deployment.largeHead) ?? {};
    const [member = ""] = [...engines.states.keys()].filter((id) => {
      const one = engines.states.get(id)?.membership;
      return one?.group === membership?.group && one?.rank === 2;
    });
    engines.dead.add(member);
    holder.removeEngine(member);
    await deployment.advance(RUN_TIME);
    holder.coordinator.dispose();
    const closed = new Set(
      engines.orders.flatMap(({ order }) =>
        order.kind === OrderKind.Close ? [order.group] : [],
      ),
    );
    expect(closed.size).to.be.at.most(MAXIMUM_CLOSED);
  });
});
