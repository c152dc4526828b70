/** Metrics of one process, rendered in the Prometheus text format. */
import * as histogram from "hdr-histogram-js";
import * as prometheus from "prom-client";

export type Labels = Readonly<Record<string, string>>;

export interface MetricOptions {
  readonly name: string;
  /** One sentence on what is measured, with its unit. */
  readonly help: string;
  /** @default [] */
  readonly labelNames?: readonly string[];
}

export interface GaugeReading {
  readonly value: number;
  readonly labels?: Labels;
}

export interface ReadGaugeOptions extends MetricOptions {
  /** Called at each rendering; label sets that it omits are removed. */
  readonly read: () => readonly GaugeReading[];
}

export interface IncrementOptions {
  readonly labels?: Labels;
  /** @default 1 */
  readonly amount?: number;
}

/** Increments a counter. */
export type IncrementCounter = (options?: IncrementOptions) => void;

/** Sets a gauge. */
export type SetGauge = (value: number, labels?: Labels) => void;

/** Records a value, a non-negative integer in the metric's unit. */
export type RecordValue = (value: number) => void;

export interface Metrics {
  /** Content type of the rendered text. */
  readonly contentType: string;
  createCounter(options: MetricOptions): IncrementCounter;
  createGauge(options: MetricOptions): SetGauge;
  /** Registers a gauge whose values are read at each rendering. */
  registerGauge(options: ReadGaugeOptions): void;
  /** Creates a distribution that is exported as quantiles. */
  createDistribution(options: Omit<MetricOptions, "labelNames">): RecordValue;
  render(): Promise<string>;
}

const exportedQuantiles = [0.5, 0.95, 0.99, 1] as const;
const significantDigits = 2;

/** Creates an empty metrics registry. */
export function createMetrics(): Metrics {
  const registry = new prometheus.Registry();
  const registers = [registry];

  function registerGauge(
    { name, help, labelNames = [], read }: ReadGaugeOptions,
  ): void {
    new prometheus.Gauge({
      name,
      help,
      labelNames: [...labelNames],
      registers,
      collect() {
        this.reset();
        for (const { value, labels = {} } of read()) this.set(labels, value);
      },
    });
  }

  return {
    contentType: registry.contentType,
    createCounter({ name, help, labelNames = [] }) {
      const config = { name, help, labelNames: [...labelNames], registers };
      const counter = new prometheus.Counter(config);
      return ({ labels = {}, amount = 1 } = {}) => counter.inc(labels, amount);
    },
    createGauge({ name, help, labelNames = [] }) {
      const config = { name, help, labelNames: [...labelNames], registers };
      const gauge = new prometheus.Gauge(config);
      return (value, labels = {}) => gauge.set(labels, value);
    },
    registerGauge,
    createDistribution({ name, help }) {
      const values = histogram.build({
        numberOfSignificantValueDigits: significantDigits,
      });
      registerGauge({
        name,
        help,
        labelNames: ["quantile"],
        read: () =>
          exportedQuantiles.map((quantile) => ({
            value: values.getValueAtPercentile(quantile * 100),
            labels: { quantile: String(quantile) },
          })),
      });
      return (value) => values.recordValue(value);
    },
    render: () => registry.metrics(),
  };
}
