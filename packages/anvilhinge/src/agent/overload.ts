/** Feeds the admission of an agent with the work that its engine runs. */
import * as admission from "@anvilhinge/coordination/admission";
import type * as clock from "@anvilhinge/coordination/clock";
import type * as engine from "../ports/engine.ts";

export interface OverloadGate {
  /** The engine, with each start and end counted. */
  readonly engine: engine.Engine;
  /** True when the attempt could not finish before its deadline. */
  readonly isOverloaded: (request: admission.AdmissionRequest) => boolean;
}

/** Creates the gate over an engine. */
export function createOverloadGate(
  inner: engine.Engine,
  options: { readonly clock: clock.Clock },
): OverloadGate {
  const gate = admission.createAdmission({
    clock: options.clock,
    readLoad: inner.readLoad,
  });

  function start(request: engine.EngineRequest): void {
    let isOpen = true;
    gate.recordStart(request.priority);

    function end(): void {
      if (!isOpen) return;
      isOpen = false;
      gate.recordEnd(request.priority);
    }

    request.signal.addEventListener("abort", end, { once: true });
    inner.start({
      ...request,
      onEvent(event) {
        if (event.kind === "end" || event.kind === "failed") end();
        request.onEvent(event);
      },
    });
  }

  return {
    engine: { ...inner, start },
    isOverloaded: (request) => gate.decide(request).kind === "overloaded",
  };
}
