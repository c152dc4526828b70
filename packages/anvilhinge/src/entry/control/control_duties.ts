/** The control duties of one entry and the way to those of other entries. */
import * as duties from "./duties.ts";
import * as dutyDirectory from "./duty_directory.ts";
import * as entryClient from "./entry_client.ts";
import * as handoverDuty from "./handover_duty.ts";

export interface ControlDuties
  extends Pick<duties.Duties, "isHolder" | "getFencingNumber" | "listHeld"> {
  /** Takes a report, or passes it on to the entry in charge; false if neither. */
  report(
    received: entryClient.GroupReport & { readonly forwarded: boolean },
  ): Promise<boolean>;
  /** Progress of a move that this entry is in charge of. */
  getOwnProgress(group: string): entryClient.MoveProgress | undefined;
  /** As `getOwnProgress`, asking the entry in charge where needed. */
  findProgress(group: string): Promise<entryClient.MoveProgress | undefined>;
  listConflicts(): readonly handoverDuty.GroupConflict[];
  /** Starts the duties; other entries reach this one at `controlAddress`. */
  start(controlAddress: string): void;
  /** Gives up the leases that are held. */
  stop(): Promise<void>;
}

export interface ControlDutiesOptions {
  readonly signal: AbortSignal;
  /** @default a client over connections of its own */
  readonly client?: entryClient.EntryClient;
}

/** Creates the duties of an entry; they do nothing before `start`. */
export function createControlDuties(
  entry: duties.DutiesContext & handoverDuty.HandoverContext,
  options: ControlDutiesOptions,
): ControlDuties {
  const { signal } = options;
  const held = duties.createDuties(entry, { signal });
  const directory = dutyDirectory.createDutyDirectory(entry.store);
  const client = options.client ?? entryClient.createEntryClient({ signal });
  const moves = handoverDuty.createHandoverDuty(entry, {
    duties: held,
    signal,
  });
  let ownAddress = "";

  function findDuty(group: string): dutyDirectory.Duty {
    const owner = entry.upstreams.findAssignment(group);
    return { half: owner?.half ?? entry.settings.half, key: group };
  }

  async function findOther(
    duty: dutyDirectory.Duty,
  ): Promise<string | undefined> {
    const address = await directory.findHolder(duty);
    if (address !== ownAddress) return address;
    directory.invalidate(duty);
    return undefined;
  }

  async function sendReport(
    report: entryClient.GroupReport,
  ): Promise<boolean> {
    const duty = findDuty(report.group);
    const address = await findOther(duty);
    if (address === undefined) return false;
    const accepted = await client.forwardReport(address, report);
    if (!accepted) directory.invalidate(duty);
    return accepted;
  }

  return {
    isHolder: held.isHolder,
    getFencingNumber: held.getFencingNumber,
    listHeld: held.listHeld,
    async report({ forwarded, group, rank, epoch, incarnation }) {
      const report = { group, rank, epoch, incarnation };
      if (await moves.report(report)) return true;
      return forwarded ? false : await sendReport(report);
    },
    getOwnProgress: moves.getProgress,
    async findProgress(group) {
      const own = moves.getProgress(group);
      if (own !== undefined) return own;
      const duty = findDuty(group);
      const address = await findOther(duty);
      if (address === undefined) return undefined;
      const progress = await client.getMove(address, group);
      if (progress === undefined) directory.invalidate(duty);
      return progress;
    },
    listConflicts: moves.listConflicts,
    start(controlAddress) {
      ownAddress = controlAddress;
      held.start(controlAddress);
      moves.start();
    },
    stop: held.stop,
  };
}
