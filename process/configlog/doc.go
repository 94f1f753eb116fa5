// Package configlog replicates the dynamic configuration through one stream of
// the platform's log. Every router applies the records in log order with the
// same deterministic rules, so all routers accept and reject the same changes
// without a vote; Submit reports acceptance once a majority has the change.
//
// Rules for concurrent changes:
//
//   - A push names the version it is based on and is accepted only if that
//     version is in force. Any change in between, including one that takes a
//     target out of service, rejects it with version_conflict.
//   - Taking a target out of service or bringing it back commutes with the same
//     on other targets. It is rejected with version_conflict only if the same
//     target changed after the version that the change is based on. A change
//     that is already in effect is accepted without a new version.
//   - Targets stay out of service across a push, even one that drops the target.
//   - A restore is accepted whenever it is valid and discards all earlier state,
//     so it also works for routers that have none.
//   - A record with the ID of an earlier one is a duplicate and is ignored. The
//     IDs of the last rememberedChanges changes are kept; a change made before
//     the oldest of them is rejected, so a duplicate that arrives very late is
//     never taken for a new change.
package configlog
