/**
 * The control duties of one entry, and requests to the entries that hold the
 * other duties. A control duty, such as the moves of one group, is carried out
 * by the one entry that holds its lease.
 */
import * as duties from "./duties.ts";
import * as dutyDirectory from "./duty_directory.ts";
import * as entryClient from "./entry_client.ts";
import * as handoverDuty from "./handover_duty.ts";

export interface ControlDuties
  extends
    Pick<duties.Duties, "isHolder" | "getFencingNumber" | "listHeldBundles"> {
  /**
   * Handles a rank's report that it is drained, or forwards it to the entry in
   * charge of the group. A `forwarded` report comes from another entry and is
   * not forwarded again. Resolves to false if the report could not be handled.
   */
  report(
    received: entryClient.DrainedReport & { readonly forwarded: boolean },
  ): Promise<boolean>;
  /** Returns the progress of a move that this entry is in charge of. */
  getOwnProgress(group: string): entryClient.MoveProgress | undefined;
  /** Returns the progress of a move; queries the entry in charge if needed. */
  findProgress(group: string): Promise<entryClient.MoveProgress | undefined>;
  listConflicts(): readonly handoverDuty.GroupConflict[];
  /** Starts the duties; other entries reach this entry at `controlAddress`. */
  start(controlAddress: string): void;
  /** Releases the leases that this entry holds. */
  stop(): Promise<void>;
}

export interface ControlDutiesOptions {
  readonly signal: AbortSignal;
  /** @default a client with its own connections */
  readonly client?: entryClient.EntryClient;
}

/** Creates the duties of an entry; they are inactive before `start`. */
export function createControlDuties(
  entry: duties.DutiesContext & handoverDuty.HandoverContext,
  options: ControlDutiesOptions,
): ControlDuties {
  const { signal } = options;
  const leasedDuties = duties.createDuties(entry, { signal });
  const directory = dutyDirectory.createDutyDirectory(entry.store);
  const client = options.client ?? entryClient.createEntryClient({ signal });
  const handover = handoverDuty.createHandoverDuty(entry, {
    duties: leasedDuties,
    signal,
  });
  let ownControlAddress = "";

  function getDuty(group: string): dutyDirectory.Duty {
    const owner = entry.upstreams.findAssignment(group);
    return { half: owner?.half ?? entry.settings.half, key: group };
  }

  async function findOtherHolder(
    duty: dutyDirectory.Duty,
  ): Promise<string | undefined> {
    const address = await directory.findHolder(duty);
    if (address !== ownControlAddress) return address;
    // This entry could not answer as the holder, so the cached lease may be out
    // of date.
    directory.invalidate(duty);
    return undefined;
  }

  async function sendReport(
    report: entryClient.DrainedReport,
  ): Promise<boolean> {
    const duty = getDuty(report.group);
    const address = await findOtherHolder(duty);
    if (address === undefined) return false;
    const accepted = await client.forwardReport(address, report);
    if (!accepted) directory.invalidate(duty);
    return accepted;
  }

  return {
    isHolder: leasedDuties.isHolder,
    getFencingNumber: leasedDuties.getFencingNumber,
    listHeldBundles: leasedDuties.listHeldBundles,
    async report({ forwarded, group, rank, epoch, incarnation }) {
      const report = { group, rank, epoch, incarnation };
      if (await handover.report(report)) return true;
      return forwarded ? false : await sendReport(report);
    },
    getOwnProgress: handover.getProgress,
    async findProgress(group) {
      const ownProgress = handover.getProgress(group);
      if (ownProgress !== undefined) return ownProgress;
      const duty = getDuty(group);
      const address = await findOtherHolder(duty);
      if (address === undefined) return undefined;
      const progress = await client.getMove(address, group);
      if (progress === undefined) directory.invalidate(duty);
      return progress;
    },
    listConflicts: handover.listConflicts,
    start(controlAddress) {
      ownControlAddress = controlAddress;
      leasedDuties.start(controlAddress);
      handover.start();
    },
    stop: leasedDuties.stop,
  };
}
