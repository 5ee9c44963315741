/** A store that has always served, for tests that do not follow one. */
import type { IStoreTimes } from "../../src/common/calls/store_availability.ts";

export const SERVING_STORE: IStoreTimes = {
  readAt: 0,
  returnedAt: Number.NEGATIVE_INFINITY,
  interruptedUntil: Number.NEGATIVE_INFINITY,
  service: null,
  servesSince: () => Number.NEGATIVE_INFINITY,
  hasServed: () => true,
};
