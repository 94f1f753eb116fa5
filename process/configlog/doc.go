// Package configlog agrees on the dynamic configuration through one stream of
// the platform's log. Every router folds the records in log order with the
// same rules, so that all accept and reject the same changes; nothing is voted
// on.
//
// How changes that race are judged:
//
//   - A push names the version it was made on and is accepted only if that is
//     the version in force. A change of another operator in between, also one
//     that takes a target out, rejects it with version_conflict.
//   - Taking a target out or bringing it back commutes with the same on other
//     targets. It is rejected with version_conflict only if the same target was
//     changed after the version that the change names. A change whose wish
//     already holds is accepted without a new version.
//   - Marks of targets taken out survive a push, also one that drops the target.
//   - A restore is accepted whenever it is valid, and everything before it is
//     forgotten, so that it also serves routers that know nothing.
//   - A record with the id of an earlier one is a repeat and is ignored. Ids are
//     remembered for the last rememberedChanges records; a change that was made
//     before the oldest remembered one is rejected, so that a repeat that arrives
//     very late is never taken for a new change.
package configlog
