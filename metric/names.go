package metric

// info is the name of a metric, without prefix, and its documentation.
type info struct {
	name string
	doc  string
}

// Counter identifies a counter.
type Counter int

// The numCounters.
const (
	RequestsReceived Counter = iota
	RequestsAnswered
	RequestsNotRun
	RequestsUnknown
	RequestsRefused
	WrongKeys
	WrongOperatorKeys
	CallersGone
	CallersStalled
	Attempts
	Retries
	AttemptsCrossed
	StreamsResumed
	ClaimsHeld
	ClaimsRefused
	ClaimsDuplicate
	OrdersGiven
	OrdersFenced
	OrdersFailed
	TokensDelivered
	HeartbeatsSent
	HeartbeatsReceived
	HeartbeatsIgnored
	ControlBytesSent
	ControlBytesReceived
	PlatformErrors
	PeerErrors
	ConfigAdopted
	HostsLost
	ConfigRejected
	LogLinesDropped
	RequestsShed
	FollowersServed
	QuestionsOpen
	EntriesRejected
	RequestsBarred
	RequestsBarredByPart
	StoreWentBack
	Suspensions
	NoticesLeaving
	NoticesBackoff
	CallersResumed
	OriginsUnknown
	RequestsOffloaded
	RequestsTakenOver
	OffloadsFailed
	PlacedNear
	PlacedSpilled
	CopiedByHolding
	BackupsAsked
	StreamsContinued
	BackupsMissing
	EndsConfirmed
	EndsUnconfirmed
	EventsOutOfOrder
	CacheEvents
	CacheGaps
	CacheLists
	CacheCallsFailed
	WaitsGranted
	WaitsNotGranted
	numCounters
)

var counterTable = [numCounters]info{
	RequestsReceived:     {"requests_received", "Requests of callers that passed authentication."},
	RequestsAnswered:     {"requests_answered", "Requests whose whole answer was handed over."},
	RequestsNotRun:       {"requests_not_run", "Requests that ended with the outcome not_run, refusals included."},
	RequestsUnknown:      {"requests_unknown", "*alarm* Requests that ended with the outcome unknown."},
	RequestsRefused:      {"requests_refused", "Requests refused at once because a queue was full or no target was there."},
	WrongKeys:            {"wrong_keys", "*alarm* Requests with an unknown API key."},
	WrongOperatorKeys:    {"wrong_operator_keys", "*alarm* Calls of the intent API or between routers with a wrong key."},
	CallersGone:          {"callers_gone", "Callers that went away before their answer was whole."},
	CallersStalled:       {"callers_stalled", "Callers that were cut off because they took no bytes of their answer."},
	Attempts:             {"attempts", "Attempts sent to targets."},
	Retries:              {"retries", "Attempts after a failed one."},
	AttemptsCrossed:      {"attempts_crossed", "*alarm* Answers of other attempts that were thrown away."},
	StreamsResumed:       {"streams_resumed", "Streams continued at another target."},
	ClaimsHeld:           {"claims_held", "Calls that may not be repeated whose key was claimed here."},
	ClaimsRefused:        {"claims_refused", "Calls refused because their key could not be claimed; they did not run."},
	ClaimsDuplicate:      {"claims_duplicate", "Calls whose key an earlier call had claimed."},
	OrdersGiven:          {"orders_given", "Orders given to targets."},
	OrdersFenced:         {"orders_fenced", "Orders that a target refused because a later holder of the lease had given some."},
	OrdersFailed:         {"orders_failed", "*alarm* Targets that take orders and could not be asked or ordered."},
	TokensDelivered:      {"tokens_delivered", "Output tokens handed over to callers."},
	HeartbeatsSent:       {"heartbeats_sent", "Heartbeats sent to other routers."},
	HeartbeatsReceived:   {"heartbeats_received", "Authentic heartbeats received."},
	HeartbeatsIgnored:    {"heartbeats_ignored", "Heartbeats that were late, repeated or of a replaced run."},
	ControlBytesSent:     {"control_bytes_sent", "Bytes of heartbeats sent, IP and UDP headers included."},
	ControlBytesReceived: {"control_bytes_received", "Bytes of heartbeats received, IP and UDP headers included."},
	PlatformErrors:       {"platform_errors", "*alarm* Requests to the platform that failed."},
	PeerErrors:           {"peer_errors", "Calls and heartbeats to other routers that failed."},
	ConfigAdopted:        {"config_adopted", "Versions of the configuration that came in force here."},
	ConfigRejected:       {"config_rejected", "*alarm* Configurations that were not valid and did not come in force."},
	LogLinesDropped:      {"log_lines_dropped", "Log lines that were not written because there were too many."},
	RequestsShed:         {"requests_shed", "*alarm* Streams refused because this process was behind."},
	FollowersServed:      {"followers_served", "Calls of other routers that follow a table of the store through this one."},
	QuestionsOpen:        {"questions_open", "Questions about targets that another router did not answer in time."},
	EntriesRejected:      {"entries_rejected", "*alarm* Entries of targets or routers that could not be read; such a target gets nothing new until a good entry follows."},
	RequestsBarred:       {"requests_barred", "*alarm* Requests refused because targets ended under earlier tries of them, or under others with the same part of their prompts."},
	RequestsBarredByPart: {"requests_barred_by_part", "*alarm* Those of requests_barred that are refused because of a part of their prompts."},
	StoreWentBack:        {"store_went_back", "*alarm* Times that the store came back from a copy that lacks its latest writes."},
	Suspensions:          {"suspensions", "*alarm* Times that this host was suspended; its steady clock stood still."},
	NoticesLeaving:       {"notices_leaving", "Targets that said in an answer that they leave, before this router knew."},
	NoticesBackoff:       {"notices_backoff", "Targets that asked this router in an answer for a while without requests."},
	CallersResumed:       {"callers_resumed", "Streams that callers resumed here at the version that began them."},
	OriginsUnknown:       {"origins_unknown", "Streams that callers could not resume here because the version that began them is not known."},
	RequestsOffloaded:    {"requests_offloaded", "Streams handed over to another router, because this one had little processor time left."},
	RequestsTakenOver:    {"requests_taken_over", "Streams that other routers handed over to this one."},
	OffloadsFailed:       {"offloads_failed", "Routers that could not be reached to hand a stream over."},
	PlacedNear:           {"placed_near", "Prompts placed at a home in the data centre of this router."},
	PlacedSpilled:        {"placed_spilled", "Prompts placed at a home over all data centres, because their near homes were expected to be later."},
	CopiedByHolding:      {"copied_by_holding", "Prompts whose shared parts were copied from a target that is no home of theirs."},
	BackupsAsked:         {"backups_asked", "Attempts whose target was asked to copy the state of its run to another one."},
	StreamsContinued:     {"streams_continued", "Streams that went on at the target with the copy of their state."},
	EndsConfirmed:        {"ends_confirmed", "Responses with neither length nor chunks whose target still ran after their end."},
	EndsUnconfirmed:      {"ends_unconfirmed", "Responses with neither length nor chunks that count as broken, as their target did not show that it still runs."},
	EventsOutOfOrder:     {"events_out_of_order", "Streams in which a target sent an event that does not follow those that were passed on."},
	BackupsMissing:       {"backups_missing", "Streams that could not go on from their backup, as the target had no copy or no room."},
	CacheEvents:          {"cache_events", "Parts of prompts that targets reported as cached or evicted."},
	CacheGaps:            {"cache_gaps", "Times that a target no longer had all its reports, so that its list was needed."},
	CacheLists:           {"cache_lists", "Lists read of all that a target caches."},
	CacheCallsFailed:     {"cache_calls_failed", "Calls for what a target caches that failed."},
	WaitsGranted:         {"waits_granted", "Requests that waited for a place at a target and got one."},
	WaitsNotGranted:      {"waits_not_granted", "Requests that waited for a place at a target and got none."},
	HostsLost:            {"hosts_lost", "*alarm* Other routers that became unreachable."},
}

// Gauge identifies a gauge.
type Gauge int

// The numGauges.
const (
	ConfigVersion Gauge = iota
	HostsReachable
	RequestsQueued
	RequestsRunning
	HeartbeatsForged
	ControlCPUSeconds
	RoutesAge
	TargetsAge
	SuspectsKnown
	BarredKnown
	ProcessorLoad
	CachesFollowed
	RequestsWaiting
	numGauges
)

var gaugeTable = [numGauges]info{
	ConfigVersion:     {"config_version", "Version of the configuration in force here."},
	HostsReachable:    {"hosts_reachable", "Other routers that are reachable."},
	RequestsQueued:    {"requests_queued", "Requests waiting here."},
	RequestsRunning:   {"requests_running", "Requests of this router at targets."},
	ControlCPUSeconds: {"control_cpu_seconds", "Time spent in the control loop and on heartbeats since the start; processor time is at most this."},
	HeartbeatsForged:  {"heartbeats_forged", "*alarm* Datagrams without a valid fleet key since the start."},
	RoutesAge:         {"routes_age_seconds", "Time since the store last answered about the configuration; a held feed makes some seconds."},
	SuspectsKnown:     {"suspects_known", "Contents of requests, and parts of prompts, under which targets ended lately."},
	BarredKnown:       {"barred_known", "*alarm* Contents of requests, and parts of prompts, that are barred from targets, as enough of them ended."},
	RequestsWaiting:   {"requests_waiting", "Requests of this router that wait for a place at a target."},
	ProcessorLoad:     {"processor_load", "Part of this router's share of a core that is in use; 0 if limits.processor is not set."},
	CachesFollowed:    {"caches_followed", "Targets whose reports on what they cache this router follows."},
	TargetsAge:        {"targets_age_seconds", "Time since the store last answered about the targets; a held feed makes some seconds."},
}

// Histogram identifies a histogram of durations.
type Histogram int

// The numHistograms.
const (
	QueueWait Histogram = iota
	FirstToken
	RequestTime
	ProcessLag
	PredictionError
	AskTime
	OriginTime
	PlaceWait
	numHistograms
)

var histogramTable = [numHistograms]info{
	QueueWait:       {"queue_wait", "Time from acceptance to the slot."},
	FirstToken:      {"first_token", "Time from acceptance to the first output token."},
	RequestTime:     {"request_time", "Time from acceptance to the end of the request."},
	ProcessLag:      {"process_lag", "How late the looks at running requests were, ten a second: the lag of this process."},
	AskTime:         {"ask_time", "Time that a request waited for other routers' answers about targets."},
	OriginTime:      {"origin_time", "Time that a resumed stream waited for other routers' replies on its origin."},
	PlaceWait:       {"place_wait", "Time that a request waited for a place at a target."},
	PredictionError: {"prediction_error", "Distance between the expected and the actual time from placement to the first event."},
}
