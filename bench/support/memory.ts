/** Measures the heap after a garbage collection. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collect = runInNewContext("gc") as () => void;

/** Bytes of reachable heap objects. */
export function usedHeap(): number {
  collect();
  return process.memoryUsage().heapUsed;
}
