/** Expert maps: switch rounds, estimates of expert popularity, and planning. */
export * as baselines from "./baselines.ts";
export * as expertMap from "./expert_map.ts";
export * as layerLoad from "./layer_load.ts";
export * as mapSchedule from "./map_schedule.ts";
export * as planner from "./planner.ts";
export * as popularity from "./popularity.ts";
export * as roundLeader from "./round_leader.ts";
export * as roundMessages from "./round_messages.ts";
export * as roundRank from "./round_rank.ts";
