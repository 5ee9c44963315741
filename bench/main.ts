/** `npm run bench -- NAME` runs the benchmark in NAME_bench.ts. */
import { readdirSync } from "node:fs";

/** A benchmark, which prints one figure per line, the ratio first. */
export interface IBenchmark {
  run(options: readonly string[]): Promise<void>;
}

const name = process.argv[2] ?? "";
const known = readdirSync(import.meta.dirname)
  .filter((file) => file.endsWith("_bench.ts"))
  .map((file) => file.replace(/_bench\.ts$/, ""));
if (known.includes(name)) {
  const path = `./${name}_bench.ts`;
  const benchmark = (await import(path)) as IBenchmark;
  await benchmark.run(process.argv.slice(3));
} else {
  console.log(`expected one of: ${known.join(", ")}`);
}
