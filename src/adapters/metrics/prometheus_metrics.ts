/** Counters, gauges and latencies in the Prometheus text format. */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";
import type { IMetrics } from "../../common/services/services.ts";
import { HELP_TEXTS } from "./help_texts.ts";

type Labels = Readonly<Record<string, string>>;

const PREFIX = "cranberryledge_";
const NO_LABELS: Labels = {};

/** Longer durations are recorded as this, milliseconds: ten minutes. */
const MAXIMUM_DURATION = 600_000;

/** Percentiles exposed for each latency. */
const PERCENTILES: readonly number[] = [50, 95, 99];

/** Uses prom-client for counters and gauges, HDR histograms for latencies. */
export class PrometheusMetrics implements IMetrics {
  readonly #registry = new Registry();
  readonly #counters = new Map<string, Counter>();
  readonly #gauges = new Map<string, Gauge>();
  readonly #histograms = new Map<string, Map<string, Histogram>>();

  count(name: string, labels: Labels = NO_LABELS): void {
    let counter = this.#counters.get(name);
    if (counter === undefined) {
      counter = new Counter({
        name: `${PREFIX}${name}_total`,
        help: HELP_TEXTS[name] ?? name,
        labelNames: Object.keys(labels),
        registers: [this.#registry],
      });
      this.#counters.set(name, counter);
    }
    counter.inc(labels);
  }

  observe(
    name: string,
    milliseconds: number,
    labels: Labels = NO_LABELS,
  ): void {
    const value = Math.min(
      Math.max(Math.round(milliseconds), 0),
      MAXIMUM_DURATION,
    );
    this.#histogram(name, labels).recordValue(value);
  }

  gauge(name: string, value: number, labels: Labels = NO_LABELS): void {
    const help = HELP_TEXTS[name] ?? name;
    const options = { labelNames: Object.keys(labels), help };
    this.#gaugeNamed(name, options).set(labels, value);
  }

  /** Returns all metrics as text for a collector. */
  async expose(): Promise<string> {
    for (const [name, series] of this.#histograms) {
      for (const [key, histogram] of series) {
        this.#exposeHistogram(name, JSON.parse(key) as Labels, histogram);
      }
    }
    return this.#registry.metrics();
  }

  get contentType(): string {
    return this.#registry.contentType;
  }

  #exposeHistogram(name: string, labels: Labels, histogram: Histogram): void {
    const labelNames = [...Object.keys(labels), "quantile"];
    const help = HELP_TEXTS[name] ?? name;
    const options = { labelNames, help };
    const gauge = this.#gaugeNamed(`${name}_milliseconds`, options);
    for (const percentile of PERCENTILES) {
      const value = histogram.getValueAtPercentile(percentile);
      gauge.set({ ...labels, quantile: String(percentile / 100) }, value);
    }
  }

  #histogram(name: string, labels: Labels): Histogram {
    let series = this.#histograms.get(name);
    if (series === undefined) {
      series = new Map();
      this.#histograms.set(name, series);
    }
    const key = JSON.stringify(labels);
    let histogram = series.get(key);
    if (histogram === undefined) {
      histogram = build({
        bitBucketSize: 32,
        autoResize: true,
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAXIMUM_DURATION,
        numberOfSignificantValueDigits: 2,
      });
      series.set(key, histogram);
    }
    return histogram;
  }

  #gaugeNamed(
    name: string,
    options: { readonly labelNames: readonly string[]; readonly help: string },
  ): Gauge {
    const { labelNames, help } = options;
    let gauge = this.#gauges.get(name);
    if (gauge === undefined) {
      gauge = new Gauge({
        name: `${PREFIX}${name}`,
        help,
        labelNames: [...labelNames],
        registers: [this.#registry],
      });
      this.#gauges.set(name, gauge);
    }
    return gauge;
  }
}
