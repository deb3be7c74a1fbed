package event

import "log/slog"

// This file defines the events. The hundreds of their numbers group them by subject:
// 1xx the process, 2xx the store and membership, 3xx the request path, 4xx pools,
// waves and machines, 5xx jobs.

// Events of the process.
var (
	Started         = define(101, "started", slog.LevelInfo, "The process serves on the given addresses.")
	Stopping        = define(102, "stopping", slog.LevelInfo, "A planned shutdown has begun; the process reports that it is not ready.")
	Stopped         = define(103, "stopped", slog.LevelInfo, "The process exits; inFlight is the number of requests that had not ended.")
	Reloaded        = define(105, "settings reloaded", slog.LevelInfo, "The settings file was read again; changed lists the settings that differ.")
	LinesDropped    = define(107, "log lines dropped", slog.LevelWarn, "Lines were dropped because more came than could be written; lines is their number.")
	ReloadFailed    = define(106, "settings kept", slog.LevelError, "The settings file cannot be used; the settings stay unchanged.")
	ReadyChanged    = define(108, "readiness changed", slog.LevelInfo, "The process has changed whether it reports to the load balancer that it accepts connections; ready is the new value, and version, store and leaving are the values it depends on.")
	MemoryLow       = define(109, "near its memory", slog.LevelWarn, "The process uses at least four fifths of its memory limit; it accepts no new jobs as long as a peer can. used, live and limit are in bytes; live is the part of used that live objects take.")
	MemoryRecovered = define(110, "memory clear", slog.LevelInfo, "The process is no longer near its memory limit and accepts jobs again.")
	Suspended       = define(111, "suspended", slog.LevelWarn, "The machine was suspended: its monotonic clock has fallen behind the boot time by the time in lasted. Leases, ownerships and the configuration are confirmed again before they are relied on.", withDuration("lasted"))
	NoBootTime      = define(112, "no boot time", slog.LevelError, "The boot time cannot be read, so a suspension of the machine would not be noticed; do not suspend it.")
	Failed          = define(104, "failed", slog.LevelError, "A part of the process ended with an error.")
)

// Events of the logs in the store: configuration, assignment and jobs.
var (
	VersionApplied = define(201, "version applied", slog.LevelInfo, "This node has applied a version of the log named in log.")
	LogBehind      = define(202, "log behind", slog.LevelWarn, "The store returned a lower version than this node has applied; it is ignored.")
	LogUnavailable = define(203, "log cut off", slog.LevelWarn, "A log cannot be read or compacted; the last version that was applied stays in force.")
	LogRecovered   = define(204, "log back", slog.LevelInfo, "A log can be read again.")
	ChangeSettled  = define(205, "change settled", slog.LevelInfo, "A change whose answer was lost has taken effect; it was found by reading the log again.")
	LogCompacted   = define(206, "log compacted", slog.LevelInfo, "A snapshot of a log was written, and old segments were removed.")
)

// Events of membership.
var (
	StoreUnavailable       = define(221, "store lost", slog.LevelWarn, "The platform's store does not answer; stored state cannot be changed.")
	StoreRecovered         = define(222, "store back", slog.LevelInfo, "The platform's store answers again.")
	LeaseEnded             = define(223, "lease ended", slog.LevelWarn, "This member's lease has ended; this member no longer owns anything.")
	FormerLeaseEnded       = define(234, "former lease ended", slog.LevelInfo, "The lease of an earlier process of this member was revoked, so that what it owned is free at once.")
	EnrollFailed           = define(224, "enroll failed", slog.LevelWarn, "This member could not add itself to the roster; it tries again.")
	RosterUnreadable       = define(225, "roster unreadable", slog.LevelError, "A key of the roster cannot be read; it is skipped. It is logged at most once a minute for each key; notLogged is how many revisions of unreadable keys had no line since the last one.")
	PoolTaken              = define(226, "pool taken", slog.LevelInfo, "This member owns a pool from now on; its orders carry the fencing token in fence.")
	PoolLost               = define(227, "pool lost", slog.LevelInfo, "This member no longer owns a pool; reason is the cause.")
	PoolUnproven           = define(233, "pool unproven", slog.LevelWarn, "This member cannot confirm that it still owns a pool; it sends no orders there until it can.")
	PoolHandedOff          = define(237, "pool given away unfit", slog.LevelWarn, "This member hands a pool over to another one, because it has had few answers from the pool's instances for longer than a network partition takes to heal.")
	PeerLeasesHeld         = define(238, "peer leases held", slog.LevelInfo, "The store does not confirm that this member owns a pool; the peer leases of the pool's standbys prove it from now on.")
	PeerLeasesOver         = define(239, "peer leases over", slog.LevelInfo, "Peer leases do not prove the ownership of a pool any more; after is for how long they did, store whether the store proves it again.")
	PeerLeaseRefused       = define(240, "peer lease refused", slog.LevelInfo, "A standby has granted no peer lease for a pool, for the given reason. It is logged at most once a second for each pool.")
	TakeoverWaits          = define(241, "takeover waits", slog.LevelInfo, "This member does not take a pool without an owner yet, because the former owner may still hold peer leases or what it has started is not known; wait is for how long at most.")
	ChangeAmbiguous        = define(228, "change unsure", slog.LevelWarn, "The store did not answer a change; the change is sent again under the same condition.")
	ChangeRefused          = define(229, "change refused", slog.LevelWarn, "The store refused a change because another owner has made one.")
	ConfigApplied          = define(230, "configuration applied", slog.LevelInfo, "This node has applied a version of the operators' configuration.")
	RegistrationUnreadable = define(232, "registration unreadable", slog.LevelError, "The registration of an instance cannot be used, and the previous one under its key is gone; error names the field and its value. It is logged at most once a minute for each key; notLogged is how many revisions of unreadable registrations had no line since the last one.")
	ConfigUnconfirmed      = define(235, "configuration unconfirmed", slog.LevelWarn, "For the time in age, this node could not confirm that the version in force is the newest; error is the cause.", withDuration("age"))
	ConfigConfirmed        = define(236, "configuration confirmed", slog.LevelInfo, "This node can confirm again which version is the newest; after is the time during which it could not.", withDuration("after"))
	ConfigInvalid          = define(231, "configuration invalid", slog.LevelError, "A version of the operators' configuration cannot be read; the last one stays in force.")
)

// Events of the request path.
var (
	UpstreamEjected         = define(301, "upstream ejected", slog.LevelWarn, "An upstream failed too often and gets no requests for a while.")
	UpstreamRestored        = define(302, "upstream restored", slog.LevelInfo, "An ejected upstream answered a trial request and is in use again.")
	UpstreamLeaving         = define(303, "upstream leaving", slog.LevelInfo, "An upstream gets no new requests because it is leaving.")
	AnswerTruncated         = define(304, "answer cut short", slog.LevelWarn, "An upstream's answer ended early; the caller's connection was aborted so that the answer cannot be taken for complete.")
	ClaimsUnavailable       = define(305, "claims cut off", slog.LevelWarn, "Claims cannot be written; requests with a key are refused as not run.")
	ClaimsRecovered         = define(306, "claims back", slog.LevelInfo, "Claims can be written again.")
	HandlerPanic            = define(307, "handler panic", slog.LevelError, "The handler of a request panicked; the request's connection was aborted.")
	InstanceListUnavailable = define(308, "instance list cut off", slog.LevelWarn, "The platform's list of instances cannot be read; the last one that was read stays in use.")
	InstanceListRecovered   = define(309, "instance list back", slog.LevelInfo, "The platform's list of instances can be read again.")
	ShareChanged            = define(310, "connection share changed", slog.LevelInfo, "This entry instance now holds another number of connections beyond its fixed share.")
)

// Events of pools and waves.
var (
	PlannerElected = define(401, "planner elected", slog.LevelInfo, "This entry instance now holds the planner's lease of its availability zone.")
	PlannerLost    = define(402, "planner lost", slog.LevelInfo, "This entry instance no longer holds the planner's lease.")
	StepDecided    = define(403, "step decided", slog.LevelInfo, "The planner changed an instance's pool or state; reason is the cause.")
	StepLost       = define(404, "step lost", slog.LevelInfo, "Another planner changed the assignment first; this step was not taken.")
	PlanFailed     = define(405, "plan failed", slog.LevelWarn, "The planner could not read or write what it needs; it takes no new step.")
	WaveStopped    = define(406, "wave stopped", slog.LevelWarn, "The planner stopped a wave; reason is the cause.")
)

// Events of machines.
var (
	MachineOrdered         = define(421, "machine ordered", slog.LevelInfo, "The platform was asked to move an instance to a pool, or to maintain it for a wave; error is set if it refused or did not answer.", withDuration("took"))
	IncarnationListedEnded = define(427, "incarnation shown over", slog.LevelInfo, "The list of machines shows that an incarnation has ended from which its pool's owner gets no answers: life and state are from the list, listAge is the time since the list was requested, and known is how long the owner has known the incarnation.")
	OrdersHeldBack         = define(428, "orders held back", slog.LevelInfo, "More orders about instances were due than the platform accepts in a second; held is the number of those that wait for a later round.")
	PoolSized              = define(425, "pool sized", slog.LevelInfo, "The number of instances that a pool has, or should have, has changed.")
	MachineListUnavailable = define(422, "machine list cut off", slog.LevelWarn, "The platform's list of machines cannot be read; the last one that was read stays in use.")
	WaveReported           = define(423, "wave reported", slog.LevelInfo, "The progress of a wave was stored.")
	WaveUnreadable         = define(424, "wave unreadable", slog.LevelError, "A wave that an operator asks for cannot be used; nothing is ordered for it. error names the field and its value, and notLogged is how many revisions of unreadable waves had no line since the last one.")
	ZoneEvacuated          = define(429, "zone evacuated", slog.LevelInfo, "The operators have evacuated an availability zone; from now on this node starts nothing on its instances. revision is that of the request, and age is the time since the request was read.")
	ZoneOpened             = define(430, "zone open", slog.LevelInfo, "The operators have ended the evacuation of an availability zone; this node may start tasks there again. revision is that of the request.")
	EvacuationsUnknown     = define(431, "evacuations unknown", slog.LevelWarn, "For the time in age, this node has not read which availability zones are evacuated; until it has, it starts nothing anywhere. error is the error of the last attempt, empty if there was none since.", withDuration("age"))
	EvacuationsKnown       = define(432, "evacuations known", slog.LevelInfo, "This node has read again which availability zones are evacuated.", withDuration("after"))
	EvacuationUnreadable   = define(433, "evacuation unreadable", slog.LevelError, "A request to evacuate an availability zone names none; it is skipped. error names the key, and notLogged is how many revisions of unreadable requests had no line since the last one.")
	MachineUnreadable      = define(426, "machine line unreadable", slog.LevelError, "A line of the platform's list of machines cannot be used; nothing is ordered for a machine because of it. error names the field.")
)

// Events of jobs.
var (
	JobPlaced = define(501, "job placed", slog.LevelInfo, "A job was placed on an instance.")
	JobEnded  = define(502, "job ended", slog.LevelInfo, "A job has ended, with a result or with a reason why it has none; after is how long it took since its first submission, and objective is the time in which it should have ended.",
		withOutcomes("state", "completed", "failed", "cancelled"), withDuration("after"))
	JobSetAside          = define(503, "job set aside", slog.LevelWarn, "A job failed on too many instances and is not retried.")
	PlacementUnavailable = define(504, "placement cut off", slog.LevelWarn, "Jobs cannot be read or written; nothing is started.")
	TaskPlaced           = define(506, "task placed", slog.LevelInfo, "A task was placed on an incarnation of an instance; its start order is sent once that is stored.")
	StartRefused         = define(507, "start refused", slog.LevelInfo, "An instance refused to start a task and did nothing; reason is the cause.",
		withOutcomes("reason", "fence", "oldRun", "late", "room", "ticket", "unhealthy", "invalid"))
	StartUnanswered = define(508, "start unanswered", slog.LevelWarn, "An instance did not answer a start order; the order is sent again, which has no effect if the task runs.")
	RunEnded        = define(509, "run ended", slog.LevelInfo, "An instance reported that a run of a task has ended; how is the kind of end.",
		withOutcomes("how", "done", "failed", "stopped", "lapsed", "gangBroken", "gangAlone"), withDuration("after"))
	TaskReturned  = define(510, "task returned", slog.LevelInfo, "A placed task waits again; reason is what happened to its run, unanswered is the number of its start orders without an answer, and sinceHeard is the time since its instance last answered.")
	StrayRun      = define(511, "stray run stopped", slog.LevelWarn, "An instance has a run that does not belong to a placed task; the run is stopped. elsewhere is the incarnation on which the task has a run, if it has one.")
	WorkerSilent  = define(512, "instance silent", slog.LevelWarn, "An instance does not answer; its runs count as ended once expiresIn has passed.")
	WorkerExpired = define(513, "instance expired", slog.LevelWarn, "An instance was silent for so long that its runs have ended. runs is the number of runs whose tasks wait again, unheard is the number of those that may have finished and for whose outcome their tasks wait, and gone is whether the instance is no longer registered.")
	WorkerEnded   = define(514, "incarnation ended", slog.LevelInfo, "An incarnation of an instance has ended, and with it its runs but those that a later one may have, which uncertain counts; the line then comes again for these. cause is whether it crashed, had announced that it leaves, or was moved or maintained by an order of this system; sinceHeard is the time since it last answered.",
		withOutcomes("cause", "crashed", "left", "ordered"))
	StopRefused              = define(552, "stop refused", slog.LevelWarn, "An instance refused to stop a run and did nothing; the stop is ordered again, and until it succeeds, a start order in flight may still be carried out. reason is the cause.", withOutcomes("reason", "fence", "late", "room", "ticket", "unhealthy", "invalid"))
	IncarnationAlive         = define(550, "incarnation lives", slog.LevelWarn, "The platform shows that an incarnation has ended, but it has answered since it was silent, so it counts as alive.")
	InstanceAnsweredPeer     = define(551, "instance heard through peer", slog.LevelInfo, "An instance that was silent has answered a poll through a peer; its orders go through peers for a while.", withDuration("after"))
	OwnerSuspectsIsolation   = define(553, "owner doubts itself", slog.LevelWarn, "The owner of a pool gets no answers from so many of the instances that it polls that it suspects a fault of its own connection; it gives up no run and starts little. doubts is true when this begins, and false when the instances answer again.", withOutcomes("doubts", "true", "false"), withDuration("after"))
	RunEndAlreadySeen        = define(554, "known end of a present run", slog.LevelError, "An instance lists the end of a run that is placed there under a number that counts as already received, so the numbers of two incarnations were taken for those of one. number is that of the end, and seen is the highest received.")
	RunMayHaveFollowed       = define(555, "run may have followed", slog.LevelInfo, "An incarnation that was ordered to start a run has ended, and none of its reports listed the run. The incarnation in later has the same addressee and may have received the order, so it is polled before the task starts again.")
	EndedIncarnationAnswered = define(549, "ended incarnation answers", slog.LevelError, "An incarnation has answered although it had counted as ended for the time in since: its runs may run beside those that were started in their place.")
	WorkerDraining           = define(515, "instance draining", slog.LevelInfo, "An instance is about to leave; it gets no new tasks, and its serving tasks move to other instances.")
	JobTaken                 = define(516, "job taken", slog.LevelInfo, "The owner of a pool has received a job; inherited is whether an earlier owner had begun it.",
		withOutcomes("inherited", "true", "false"), withDuration("after"))
	JobUnreadable = define(517, "job unreadable", slog.LevelError, "A stored job cannot be read; it is left as it is.")
	JobAccepted   = define(518, "job accepted", slog.LevelInfo, "A job is stored, and its customer gets the answer that it is accepted; known is whether it was stored before. For a retry, age is the time since its first submission, which was derived from remaining, how long its client will still wait.",
		withOutcomes("known", "true", "false"), withDuration("took"))
	JobRefused = define(519, "job refused", slog.LevelWarn, "A job was not accepted; reason is the cause, and sure is whether it is certain that this submission never makes it run.",
		withOutcomes("sure", "true", "false"))
	JobCancelled      = define(520, "job cancelled", slog.LevelInfo, "A customer's cancellation of a job is stored; by is whether the pool's owner stored it or this member wrote it to the store.", withOutcomes("by", "owner", "store"))
	CancellationTaken = define(560, "cancellation taken", slog.LevelInfo, "The owner of a pool has read a cancellation that a member stored because it could not reach the owner; outcome is whether it applies to the job, the job has ended, or the job cannot be read, so that its cancellation stays in the store.",
		withOutcomes("outcome", "applied", "ended", "unreadable"))
	ServingTaskAway = define(561, "serving task away", slog.LevelWarn, "A serving task that has run before is not known to run anywhere for the time in away; reason is whether it was given up, there is no proof that its run has ended (expiresIn is until when the run may go on), its start has no effect yet, or it waits for a place. It is logged again every few seconds.",
		withOutcomes("reason", "givenUp", "unproven", "starting", "waiting"))
	ServingTaskBack = define(562, "serving task back", slog.LevelInfo, "A serving task that was away runs again; after is for how long it was away.", withDuration("after"))
	AddressIgnored  = define(563, "address ignored", slog.LevelWarn, "The registration of an instance that has answered names another address, so it comes from another writer; orders go on to the known one.")
	PeerSilent      = define(521, "peer silent", slog.LevelWarn, "Another entry instance did not answer a message about a job; it will learn of the job from the store.")
	ServingMoved    = define(522, "serving task moved", slog.LevelInfo, "A serving task is stopped because its instance is being emptied; it starts elsewhere at once.")
	GangGivenUp     = define(523, "gang given up", slog.LevelWarn, "The tasks of a gang did not all run in time; all are stopped and placed again.")
	AdviceTaken     = define(524, "advice taken", slog.LevelInfo, "The advisor has answered which instances may run a step.")
	AdviceFailed    = define(525, "advice failed", slog.LevelWarn, "The advisor did not answer; it is asked again.")
	RunStalled      = define(526, "run stalled", slog.LevelWarn, "A run makes no progress, or too little; it is stopped and started elsewhere.")
	PaceSet         = define(527, "pace set", slog.LevelInfo, "A task that fills the spare capacity of an instance was ordered to do another share of its work, because of the tail latency of a serving task there.")
	RunPreempted    = define(528, "run preempted", slog.LevelInfo, "A run is stopped because a job of priority 0, or a serving task that has lost its instance, needs its resources.")
	JobBegun        = define(529, "job begun", slog.LevelInfo, "The first task of a job runs; after is the time since the job was accepted.", withDuration("after"))
	JobUnknown      = define(530, "job unknown", slog.LevelInfo, "A customer's request got the answer that there is no such job; asked is the kind of request.", withOutcomes("asked", "status", "cancel"))
	JobInvalid      = define(531, "job invalid", slog.LevelInfo, "A job was not accepted because a field of it cannot be used; it never runs.")
	StatusRead      = define(533, "status read", slog.LevelInfo, "A customer got a job's state from the store, because the pool's owner gave none; reason is the cause.")
	JobHandedOn     = define(534, "job handed on", slog.LevelInfo, "A peer stored a job that this member could not store, and the customer gets the answer that it is accepted; reason is why this member could not.")
	JobWaits        = define(535, "job waits", slog.LevelInfo, "A job has waited for capacity for a while; reason is the cause. It is logged again every few seconds.", withDuration("waited"))
	StartsHeldBack  = define(536, "starts held back", slog.LevelWarn, "Instances answer start orders late because the owner of their pool is short of CPU time or its network link is saturated; from now on it has fewer start orders in flight. window is how many, and took is how late the answer was.")
	OrdersDelegated = define(537, "orders delegated", slog.LevelInfo, "From now on the owner of a pool sends its orders through peers, or directly again, as through shows; workers and window are the numbers that this depends on.")
	DelegateLost    = define(538, "delegate lost", slog.LevelWarn, "A peer that carries an owner's orders, or the owner whose orders are carried, cannot be reached; orders without a result have an unknown effect.")
	OwnerLate       = define(539, "owner late", slog.LevelWarn, "Work waits for the owner of a pool for longer than it should, as lag shows; the values that may explain it are workers, messages (that wait), window (of start orders) and plan (duration of the last one).", withDuration("lag"))
	RunLost         = define(540, "run lost", slog.LevelInfo, "A run of a task ended with its instance; cause is that of the instance's end, sinceSeen is how long the run was known to run, beside is the number of other runs there, and crashes is the number of instances that have crashed under the task.",
		withOutcomes("cause", "crashed", "left", "ordered"), withDuration("sinceSeen"))
	TaskGivenUp     = define(541, "task given up", slog.LevelWarn, "A task is not started again, because instances have crashed under it as often as crashes shows, for a serving task startCrashes; alone is whether nothing else ran on the last one, and jobFails is whether its job fails with it or goes on without it.")
	InstanceResized = define(542, "instance resized", slog.LevelInfo, "An instance reports more or less capacity than before, while it runs; if a free value is below zero, nothing is started there until enough runs have ended.")
	CallerRefused   = define(543, "caller refused", slog.LevelInfo, "A call was refused because its key is unknown, or because it had none; key is the key's fingerprint, and version is that of the configuration.",
		withOutcomes("reason", "missing", "malformed", "twice", "unknown"))
	CapReached      = define(544, "customer at its cap", slog.LevelInfo, "Tasks of a customer wait because they would exceed what may be used of its cap in this pool; used, allowed and heldBack are the amounts. It is logged again every few seconds.")
	CapMoved        = define(545, "cap moved", slog.LevelInfo, "An owner holds another part of a customer's cap than before for its pool, or has stored what it uses of a lowered one; used and wanted are what the pool needs of it, made is whether that was stored, and took is how long it took.", withOutcomes("made", "true", "false"), withDuration("took"))
	QuotaUnreadable = define(546, "quota account unreadable", slog.LevelError, "What the pools hold of a customer's cap cannot be read; it counts as nothing held.")
	CustomerExcess  = define(547, "customer in excess", slog.LevelInfo, "At its share of a pool, a customer's waiting jobs would take longer than its jobs are of use, so members refuse more of them; refused is false when they accept them again.", withOutcomes("refused", "true", "false"))
	JobExcess       = define(548, "job in excess", slog.LevelInfo, "A job was refused at once, and never runs, because its customer has too much waiting in its pool; after is the time after which the customer was asked to try again.")
	StartSkipped    = define(556, "start forgone", slog.LevelInfo, "A start order was not sent because its instance's availability zone is evacuated, or may be, as standing shows. sentBefore is whether it was sent before without an answer; then a stop order rules it out.",
		withOutcomes("standing", "evacuated", "unknown"))
	StartUnrecorded = define(557, "start unrecorded", slog.LevelInfo, "A start order is sent before it is stored, because the owner of the pool is proven by peer leases alone; after is the time since the task was placed.", withDuration("after"))
	RunAdopted      = define(558, "run adopted", slog.LevelInfo, "An instance lists a run that the previous owner of the pool started without recording it, and the new owner goes on with it; after is the time since the takeover.", withDuration("after"))
	TasksHeldBack   = define(559, "tasks held back", slog.LevelInfo, "The previous owner of a pool may have started tasks without recording it; they do not start until all instances have reported. begins is false once they may start; tasks is how many are not accounted for, instances is how many instances have not reported, and after is the time since the takeover.", withOutcomes("begins", "true", "false"), withDuration("after"))
	WorkerCleared   = define(532, "instance sound", slog.LevelInfo, "An instance that was suspected has completed a task and gets tasks like any other.")
	WorkerSuspected = define(505, "instance suspected", slog.LevelWarn, "An instance fails far more tasks than its peers and gets no new ones.")
)
