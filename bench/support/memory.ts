/** Heap in use after a collection. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collect = runInNewContext("gc") as () => void;

/** Bytes of heap that are reachable. */
export function usedHeap(): number {
  collect();
  return process.memoryUsage().heapUsed;
}
