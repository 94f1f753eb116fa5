package lock

// Rank is the position of a lock in the lock order.
type Rank interface {
	rank() (rank int, name string)
}

// The locks of the process, in the order in which they may be taken: that of their ranks.
type (
	// ConfigPublishing is configlog.Follower.publishing.
	ConfigPublishing struct{}
	// ConfigFollower is configlog.Follower.mu.
	ConfigFollower struct{}
	// AdmissionOwner is admission.Owner.mu.
	AdmissionOwner struct{}
	// AdmissionHolder is admission.Holder.mu.
	AdmissionHolder struct{}
	// AdmissionGroupMeans is admission.GroupMeans.mu.
	AdmissionGroupMeans struct{}
	// LedgerSet is ledger.Set.mu.
	LedgerSet struct{}
	// LedgerShard is ledger.Shard.mu.
	LedgerShard struct{}
	// PeerLinks is peer.Links.mu.
	PeerLinks struct{}
	// PeerLink is peer.link.mu.
	PeerLink struct{}
	// MemberTable is member.Table.mu.
	MemberTable struct{}
	// Leaf is any lock under which no other is taken.
	Leaf struct{}
)

func (ConfigPublishing) rank() (int, string)    { return 1, "configlog.Follower.publishing" }
func (ConfigFollower) rank() (int, string)      { return 2, "configlog.Follower.mu" }
func (AdmissionOwner) rank() (int, string)      { return 3, "admission.Owner.mu" }
func (AdmissionHolder) rank() (int, string)     { return 4, "admission.Holder.mu" }
func (AdmissionGroupMeans) rank() (int, string) { return 5, "admission.GroupMeans.mu" }
func (LedgerSet) rank() (int, string)           { return 6, "ledger.Set.mu" }
func (LedgerShard) rank() (int, string)         { return 7, "ledger.Shard.mu" }
func (PeerLinks) rank() (int, string)           { return 8, "peer.Links.mu" }
func (PeerLink) rank() (int, string)            { return 9, "peer.link.mu" }
func (MemberTable) rank() (int, string)         { return 10, "member.Table.mu" }
func (Leaf) rank() (int, string)                { return 11, "a leaf lock" }
