/** Admission control of an agent by the load of its engine. */
import * as admission from "@anvilhinge/coordination/admission";
import type * as clock from "@anvilhinge/coordination/clock";
import type * as engine from "../ports/engine.ts";

export interface OverloadGate {
  /** The engine, wrapped to count the start and end of each request. */
  readonly engine: engine.Engine;
  /** Whether the attempt could not finish before its deadline. */
  readonly isOverloaded: (request: admission.AdmissionRequest) => boolean;
}

/** Creates the overload gate of an engine. */
export function createOverloadGate(
  wrapped: engine.Engine,
  options: { readonly clock: clock.Clock },
): OverloadGate {
  const admissionControl = admission.createAdmission({
    clock: options.clock,
    readLoad: wrapped.readLoad,
  });

  function start(request: engine.EngineRequest): void {
    let isRunning = true;
    admissionControl.recordStart(request.priority);

    function end(): void {
      if (!isRunning) return;
      isRunning = false;
      admissionControl.recordEnd(request.priority);
    }

    request.signal.addEventListener("abort", end, { once: true });
    wrapped.start({
      ...request,
      onEvent(event) {
        if (event.kind === "end" || event.kind === "failed") end();
        request.onEvent(event);
      },
    });
  }

  return {
    engine: { ...wrapped, start },
    isOverloaded: (request) =>
      admissionControl.decide(request).kind === "overloaded",
  };
}
