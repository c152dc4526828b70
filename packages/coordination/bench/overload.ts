/**
 * Measures the goodput under overload and the load that retries add:
 * `npm run bench:overload -- [seed]`.
 */
import * as overloadModel from "./overload_model.ts";
import * as retryModel from "./retry_model.ts";

const seed = Number(process.argv[2] ?? 1);

function formatShare(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

function printGoodput(): void {
  console.log(`goodput, seed ${seed}`);
  for (const loadFactor of [1, 2, 5]) {
    for (const shedding of ["none", "expired", "admission"] as const) {
      const result = overloadModel.measureGoodput({
        seed,
        loadFactor,
        shedding,
      });
      console.log([
        `${loadFactor}x`,
        shedding.padEnd(10),
        `goodput ${formatShare(result.goodputShare)}`,
        `urgent answered ${formatShare(result.urgentAnsweredShare)}`,
        `refused early ${formatShare(result.refusedShare)}`,
      ].join("  "));
    }
  }
}

function printRetries(failedShare: number, baseFailureShare: number): void {
  console.log(
    `\nretries, seed ${seed}, ${formatShare(failedShare)} of upstreams fail, ${
      formatShare(baseFailureShare)
    } of attempts fail at healthy ones`,
  );
  for (const usesHealth of [false, true]) {
    for (const usesBudget of [false, true]) {
      const result = retryModel.measureRetries({
        seed,
        usesBudget,
        usesHealth,
        baseFailureShare,
        failedShare,
      });
      console.log([
        usesHealth ? "ejection   " : "no ejection",
        usesBudget ? "budget   " : "no budget",
        `amplification ${result.amplification.toFixed(3)}`,
        `completed ${formatShare(result.completedRequestShare)}`,
        `ejected ${result.ejectedCount} within ${
          result.slowestEjectionMs.toFixed(0)
        } ms`,
        `false ejections ${result.falseEjectionCount}`,
      ].join("  "));
    }
  }
}

printGoodput();
printRetries(1 / 3, 0);
printRetries(1 / 3, 0.02);
printRetries(1, 0);
