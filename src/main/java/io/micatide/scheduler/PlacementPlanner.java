 package io.micatide.scheduler;


import io.micatide.model.JobKind;
import io.micatide.model.Resources;
import io.micatide.model.Settings;
import java.util.List;


/**
 * The pass over the queue that decides what runs where. The rule is the design's: a fitting machine that has the image,
 * else the fitting one with the most free capacity. What is particular to gangs, services and arrays, and quotas and
 * preemption, are the concern of its collaborators.
 *
 * <p>Invariant: jobs get capacity in the order of {@link JobQueue}; what was found not to fit is forgotten whenever
 * capacity is freed or usage changes.
 */
class PlacementPlanner implements PlacementListener {
private final Settings settings;
private final Fleet fleet;
private final JobLedgers ledgers;
private final JobQueue queue;
private final PlanningPass pass;
private final TeamQuota quota;
private final MachineSelection selection;
private final PreemptionPolicy preemptionPolicy;
private final PreemptionExecutor preemptionExecutor;
private final
PlacementActions placements
;
private final ReplicaPlacement replicas;
private final ArrayPlacement arrays;
private final ArrayPreemption arrayPreemption;
private final MachineRefill machineRefill;
/** What was found not to fit in the present plan. */
final UnschedulableClasses unschedulable = new UnschedulableClasses();


private QueueSnapshot lastQueue = QueueSnapshot.NONE;
private CandidateMachines candidateMachines;


PlacementPlanner(Scheduler scheduler, Settings settings, Fleet fleet, JobLedgers ledgers, RuntimeEstimator runTimes) {
this.settings = settings;
this.fleet = fleet;
this.ledgers = ledgers;
this.queue = new JobQueue(
PlacementActions placements, Settings
settings, fleet, ledgers, runTimes)
{
this.placements = placements
;
this.pass = new PlanningPass(settings.cores());
this.quota = new TeamQuota(scheduler, settings, ledgers);
this.selection = new MachineSelection(scheduler, settings, fleet);
this.preemptionPolicy = new PreemptionPolicy(scheduler, settings, ledgers);
Preemption preemption = new Preemption(settings, placements :: teamUsage);
this.preemptionExecutor = new PreemptionExecutor(scheduler, selection, preemption);
PlanningContext context = new PlanningContext(scheduler, quota, selection, preemption, preemptionExecutor, unschedulable);


SingleTaskSelection singleTasks = new SingleTaskSelection(context);
this.gangs = new GangPlacement(context, singleTasks);
this.replicas = new ReplicaPlacement(context, singleTasks);
this.arrays = new ArrayPlacement(context);
this.arrayPreemption = new ArrayPreemption(context, preemptionPolicy);
this.machineRefill = new MachineRefill(scheduler, settings, ledgers, quota);
}


/** Whether tasks of the job may be started now, as far as the job itself goes. */
boolean isStartable(Job job, long nowMicros) {
return JobQueue.isStartable(job, nowMicros);
}


/**
 * Places pending tasks on all machines. The order of the queue that it finds is what {@link #refill} goes by until the
 * next plan.
 */
void plan(long nowMicros) {
lastQueue = QueueSnapshot.of(queue.order(nowMicros), nowMicros);
quota.refreshUnreconciledUsage();
preemptionPolicy.refresh();
if(lastQueue.isEmpty()) {
return;
}
replicas.beginPlan(ledgers.jobs());
unschedulable.clear();
arrays.beginPlan(lastQueue, nowMicros);
pass.begin(machinesExamined());
for(JobQueue.QueuedJob queued : lastQueue.jobs())
;
}
mostTogether = Math.max(FEWEST_TOGETHER,(int)(MOST_TOGETHER_SHARE * replicas()));
unschedulable.clear();
open.clear();
filled.clear();
open.addAll(usable(CapacityRequest.free(least), nowMicros));
pass.begin(machinesExamined());
for(JobQueue.QueuedJob queued : order) {
if(isStartable(queued.job(), nowMicros) && pass.isPending(queued.job())) {
if(pass.isOver(machinesExamined())) {
pass.truncate();
return;
}
placeJob(queued, nowMicros);
pass.markVisited(queued.job());
}
}
pass.end();
}


/** Plans that went on in the next tick, for the log. */
int truncatedPlans() {
return pass.truncations();
}


/** Machines looked at so far, here and in the index. */
long machinesExamined() {
return machinesExamined + fleet.freeCapacityIndex().machinesExamined();
}


/** A task was placed on the machine. */
@Override public void taskPlaced(Machine machine) {
if(! least.fitsIn(machine.freeCapacity())) {
filled.add(machine);
}
unschedulable.useChanged();
}


/** Tasks were taken from a machine: what did not fit may fit now. */
@Override public void capacityFreed() {
unschedulable.roomFreed();
}


/** Something was placed or stopped: what could not be freed may be free to take now. */
@Override public void usageChanged() {
unschedulable.useChanged();
}


/**
 * Work of the lowest priority yields to what would be late otherwise, not to all that waits: hundreds of its tasks
 * of 150 s were once started over for jobs that had time.
 */
private boolean mayEvictLowest(JobQueue.QueuedJob queued, long nowMicros) {
return lowestRuns && isUrgent(queued, nowMicros);
}


/** It can be on time, but only if it starts about now. */
private static boolean isUrgent(JobQueue.QueuedJob queued, long nowMicros) {
return queued.canMeetDeadline() && queued.dueMicros() - nowMicros < PRECEDENCE_MICROS;
}


/** Whether work of the lowest priority runs, which any other may displace. */
private boolean lowestRuns() {
for(Job job : ledgers.jobs()) {
if(job.priority() == Priority.LOW && ! job.liveAttempts.isEmpty()) {
return true;
}
}
return false;
}


/** Attempts that had to yield in this term, for the log. */
String evictionCounts() {
return evictedByReplicas + "/" + evictedByGuarantees;
}


private int replicas() {
int count = 0;
for(Job job : ledgers.jobs()) {
count += job.spec.kind() == JobKind.SERVICE ? job.liveAttempts.size() : 0;
}
return count;
}


/** In which order jobs get room. */
JobQueue queue() {
return queue;
}


/** The jobs with waiting tasks as of the last plan. */
List < JobQueue.QueuedJob > order() {
return order;
}


/**
 * Gives the room that came free on one machine to the next in the queue, so that it goes out with the answer to the
 * report that told of it. Planning for all machines at every report once took more than the whole share of a
 * core with 373 of them, and the leader lost its lease.
 */
void refill(Machine machine, long nowMicros) {
if(nowMicros - orderMicros > ORDER_MICROS || ! machine.isSchedulable(nowMicros, settings)) {
return;
}
if(order.isEmpty() || ! least.fitsIn(machine.freeCapacity())) {
return;
}
for(Job job = next(machine, nowMicros);
job != null;
job = next(machine, nowMicros)) {
placements.placeTask(job, job.nextPendingTask(), machine, nowMicros);
}
}


/** The job in the order that gets room on this machine, or null. */
private Job next(Machine machine, long nowMicros) {
JobQueue.QueuedJob first = null;
for(JobQueue.QueuedJob queued : order) {
if(first != null &&(! first.sameRank(queued) || queued.dueMicros() - first.dueMicros() >= PRECEDENCE_MICROS)) {
break;
}
if(mayRefill(queued.job(), machine, nowMicros)) {
first = first == null ? queued : first;
if(hasImage(machine, queued.job())) {
return queued.job();
}
}
}
return first == null ? null : first.job();
}


private boolean mayRefill(Job job, Machine machine, long nowMicros) {
// Asked of every waiting job at every report, so what tells most apart for the least comes first.
return job.spec.kind() != JobKind.GANG && job.spec.taskResources().fitsIn(machine.freeCapacity()) && job.placeableCount() > 0 && isStartable(job, nowMicros) && suits(job, machine, nowMicros) && teamAllows(job) && ledgers.get(job.id()) == job && placements.mayRecordMachine(job, machine, nowMicros) && zoneAllows(job, machine);
}


private boolean teamAllows(Job job) {
Team team = settings.teams().get(job.spec.team());
return team == null || team.isWithinLimit(placements.teamUsage(team.name()).plus(unknown.getOrDefault(team.name(), Resources.NONE)).plus(job.spec.taskResources()));
}


/**
 * How many of so many tasks the team's limit allows beside what it uses and {@code others}; of a gang all or none.
 */
int tasksWithinLimit(Job job, int count, Resources others) {
Team team = settings.teams().get(job.spec.team());
if(team == null) {
return count;
}
Resources each = job.spec.taskResources();
Resources there = placements.teamUsage(team.name()).plus(unknown.getOrDefault(team.name(), Resources.NONE)).plus(others);
long most = count;
if(team.maxCpus() > 0 && each.cpus() > 0) {
most = Math.min(most, Math.max(0, team.maxCpus() - there.cpus()) / each.cpus());
}
if(team.maxGpus() > 0 && each.gpus() > 0) {
most = Math.min(most, Math.max(0, team.maxGpus() - there.gpus()) / each.gpus());
}
return job.spec.kind() == JobKind.GANG && most < count ? 0 :(int) most;
}


private static boolean suits(Job job, Machine machine, long nowMicros) {
JobSpec spec = job.spec;
return spec.allowsMachine(machine.type, machine.zone, machine.spot) && ! job.failedMachines.contains(machine.name) &&(spec.kind() == JobKind.SERVICE || machine.slowUntilMicros < nowMicros);
}


/**
 * Machines on which tasks that still wait may be placed later. With the ledger naming them before, such a start goes
 * out with the answer to the report that told of the room, instead of waiting for a round first.
 */
List < String > candidateMachines(Job job, int most, long nowMicros) {
if(job.spec.kind() != JobKind.ARRAY || job.pendingCount() == 0 || job.quarantined) {
return List.of();
}
return candidateMachines.machines(machine -> suits(job, machine, nowMicros), machine -> job.ledgerMachines.contains(machine.name), most);
}


/** A round begins: machines are named for its jobs as they are now. */
void beginWriteBatch(long nowMicros) {
candidateMachines = new CandidateMachines(fleet.machines(), machine -> machine.isSchedulable(nowMicros, settings));
}


/** There, or being fetched for another task of the job. */
private static boolean hasImage(Machine machine, Job job) {
return machine.images.containsKey(job.spec.image()) || job.liveMachines.contains(machine.name);
}


/** Tasks that may still sit on machines which have not reported to this leader count for their team. */
private Map < String, Resources > unknownUse() {
Map < String, Resources > result = new HashMap < >();
for(Job job : ledgers.jobs()) {
if(job.hasUnreconciledMachines()) {
int tasks = job.cancelled ? job.spec.taskCount() : job.pendingCount();
result.merge(job.spec.team(), job.spec.taskResources().times(tasks), Resources :: plus);
}
}
return result;
}


private void placeJob(JobQueue.QueuedJob queued, long nowMicros) {
Job job = queued.job();
JobSpec spec = job.spec;
// Room comes free all the time, and what is first in the queue gets it: stopping work of the same priority
// is for a team that has waited for its guarantee.
boolean waited = nowMicros - job.readyMicros > guaranteePatienceMicros;
boolean preempts = ! job.quarantined &&(spec.kind() == JobKind.SERVICE ||((queued.guaranteed() || mayEvictLowest(queued, nowMicros)) && waited) ||(spec.priority() == job.priority() ? spec.priority() != Priority.NORMAL : isUrgent(queued, nowMicros)));
if(spec.kind() == JobKind.GANG) {
placeGang(job, queued.pendingTasks(), preempts, nowMicros);
}
else if(spec.kind() == JobKind.SERVICE) {
placeReplicas(queued, nowMicros);
}
else {
placeArray(job, nowMicros);
closeFilled();
if(preempts && job.pendingCount() > 0 && nowMicros >= job.nextPreemptionMicros && othersYield(job)) {
job.nextPreemptionMicros = nowMicros + PREEMPT_EVERY_MICROS;
preempt(queued, nowMicros);
}
}
}


/** Machines with that room that the job may use now, in the order in which they became known. */
private List < Machine > suitable(Job job, CapacityRequest.Source source, long nowMicros) {
return namable(job, withRoom(job, source, nowMicros), nowMicros);
}


private List < Machine > namable(Job job, List < Machine > machines, long nowMicros) {
List < Machine > result = new ArrayList < >();
for(Machine machine : machines) {
if(placements.mayRecordMachine(job, machine, nowMicros)) {
result.add(machine);
}
}
return result;
}


/** The same, whether its ledger can name them or not. */
private List < Machine > withRoom(Job job, CapacityRequest.Source source, long nowMicros) {
CapacityRequest demand = source == CapacityRequest.Source.FREE ? CapacityRequest.free(job.spec.taskResources()) : new CapacityRequest(job.spec.taskResources(), source, job.priority());
List < Machine > machines = usable(demand, nowMicros);
machines.removeIf(machine -> ! suits(job, machine, nowMicros));
return machines;
}


private List < Machine > usable(CapacityRequest demand, long nowMicros) {
List < Machine > machines = fleet.freeCapacityIndex().machinesWithCapacity(demand, nowMicros);
machinesExamined += machines.size();
machines.removeIf(machine -> ! machine.isSchedulable(nowMicros, settings));
return machines;
}


private void placeReplicas(JobQueue.QueuedJob queued, long nowMicros) {
Job job = queued.job();
if(job.placeableCount() == 0 || ! teamAllows(job)) {
return;
}
List < Machine > candidates = suitable(job, CapacityRequest.Source.SAME_PRIORITY, nowMicros);
for(int left = queued.pendingTasks();
left > 0 && job.placeableCount() > 0 && teamAllows(job);
left --) {
Machine machine = besideReplicas(job, candidates, nowMicros);
machine = machine != null ? machine : choose(job, candidates, true, nowMicros);
if(machine == null) {
return;
}
placements.placeTask(job, job.nextPendingTask(), machine, nowMicros);
}
}


/**
 * A machine with the image that has replicas already, the one with most; work that ends yields there. Replicas live
 * for minutes, and strewn over the fleet each of them kept a machine that would have been returned.
 */
private Machine besideReplicas(Job job, List < Machine > candidates, long nowMicros) {
Resources each = job.spec.taskResources();
Machine best = null;
long bestScore = 0;
for(Machine machine : candidates) {
if(! machine.images.containsKey(job.spec.image()) || ! zoneAllows(job, machine)) {
continue;
}
Resources replicas = Resources.NONE;
int count = 0;
for(Placement placement : machine.placements) {
if(placement.job.spec.kind() == JobKind.SERVICE) {
replicas = replicas.plus(placement.job.spec.taskResources());
count ++;
}
}
if(count == 0 || count >= mostTogether || ! each.plus(replicas).fitsIn(machine.capacity())) {
continue;
}
boolean fits = each.fitsIn(machine.freeCapacity());
long score = replicas.cpus() +(fits ? 2 * each.cpus() : 0);
if(score > bestScore &&(fits || yieldsCheaply(job, machine, nowMicros))) {
best = machine;
bestScore = score;
}
}
if(best != null && ! each.fitsIn(best.freeCapacity())) {
evict(job, preemption.victims(job, best, true), nowMicros);
}
return best;
}


private boolean yieldsCheaply(Job job, Machine machine, long nowMicros) {
return preemption.lostWork(job, machine, true, nowMicros) < CHEAP_LOSS_MICROS;
}


/** Fills one machine after another: each further one has to fetch the image and to be recorded. */
private void placeArray(Job job, long nowMicros) {
EquivalenceClass shape = EquivalenceClass.of(job.spec);
if(job.placeableCount() == 0 || ! teamAllows(job) || unschedulable.isFull(shape)) {
return;
}
List < Machine > ready = new ArrayList < >();
List < Machine > others = new ArrayList < >();
for(Machine machine : withRoom(job, CapacityRequest.Source.FREE, nowMicros)) {
if(open.contains(machine)) {
(hasImage(machine, job) ? ready : others).add(machine);
}
}
ready.sort(LEAST_ROOM);
others.sort(MOST_ROOM);
ready.addAll(others);
for(Machine machine : ready) {
while(job.spec.taskResources().fitsIn(machine.freeCapacity()) && zoneAllows(job, machine) && placements.mayRecordMachine(job, machine, nowMicros)) {
if(job.placeableCount() == 0 || ! teamAllows(job)) {
return;
}
placements.placeTask(job, job.nextPendingTask(), machine, nowMicros);
}
}
if(job.failedMachines.isEmpty() && ready.stream().noneMatch(machine -> job.spec.taskResources().fitsIn(machine.freeCapacity()))) {
unschedulable.full(shape);
}
}


/** What is full when an array has had its turn gets no array in this plan, also if work is displaced there. */
private void closeFilled() {
for(Machine machine : filled) {
if(! least.fitsIn(machine.freeCapacity())) {
open.remove(machine);
}
}
filled.clear();
}


/** Whether there can be work that a task of this job may displace. */
private boolean othersYield(Job job) {
if(job.priority() != Priority.NORMAL || lowestRuns) {
return true;
}
for(Team team : settings.teams().values()) {
if(! team.name().equals(job.spec.team()) && ! team.isWithinGuarantee(placements.teamUsage(team.name()))) {
return true;
}
}
return false;
}


/**
 * Takes the room of lesser work: those attempts first that have run for the shortest time, where the image is. The
 * room that comes free by itself serves most of a job, so a team that waits for its guarantee takes a part at a
 * time: taking all at once lost one start in ten, and some tasks were started fifteen times.
 */
private void preempt(JobQueue.QueuedJob queued, long nowMicros) {
Job job = queued.job();
if(unschedulable.findNothing(queued)) {
return;
}
CapacityRequest.Source source = queued.guaranteed() ? CapacityRequest.Source.SAME_PRIORITY : CapacityRequest.Source.LOWER_PRIORITY;
List < Machine > withRoom = withRoom(job, source, nowMicros);
List < Machine > candidates = namable(job, withRoom, nowMicros);
int left = job.pendingCount();
if(job.priority() == Priority.NORMAL) {
long until = job.readyMicros + guaranteePatienceMicros * 3 / 2 - nowMicros;
left =(int) Math.ceil(left * PREEMPT_EVERY_MICROS /(double) Math.max(PREEMPT_EVERY_MICROS, until));
}
record Option(Machine machine, boolean image, long loss) {
}
List < Option > options = new ArrayList < >();
for(Machine machine : candidates) {
long loss = preemption.lostWork(job, machine, queued.guaranteed(), nowMicros);
if(loss != Preemption.IMPOSSIBLE) {
options.add(new Option(machine, hasImage(machine, job), loss));
}
}
if(options.isEmpty() && candidates.size() == withRoom.size() && job.failedMachines.isEmpty()) {
unschedulable.findsNothing(queued);
}
options.sort(Comparator.comparing((Option option) -> ! option.image()).thenComparing(Option :: loss));
for(boolean progress = true;
progress && left > 0;
) {
progress = false;
for(Option option : options) {
Machine machine = option.machine();
List < Placement > victims = left > 0 && zoneAllows(job, machine) ? preemption.victims(job, machine, queued.guaranteed()) : null;
if(job.pendingCount() == 0 || ! teamAllows(job)) {
return;
}
if(victims != null) {
evict(job, victims, nowMicros);
placements.placeTask(job, job.nextPendingTask(), machine, nowMicros);
left --;
progress = true;
}
}
}
}


private void evict(Job job, List < Placement > victims, long nowMicros) {
if(job.spec.kind() == JobKind.SERVICE) {
evictedByReplicas += victims.size();
}
else {
evictedByGuarantees += victims.size();
}
for(Placement victim : victims) {
if(victim.isUnsent()) {
placements.remove(victim);
}
else {
placements.stop(victim, 0, nowMicros);
}
}
}


/** All missing tasks of a gang at once, or none: a part of it would hold its places for nothing. */
private void placeGang(Job job, int missing, boolean preempts, long nowMicros) {
JobSpec spec = job.spec;
Team team = settings.teams().get(spec.team());
boolean ended = job.gangBroken ||(job.gangStarted && ! job.liveAttempts.isEmpty());
if(ended ||(team != null && ! team.isWithinLimit(placements.teamUsage(spec.team()).plus(unknown.getOrDefault(spec.team(), Resources.NONE)).plus(spec.taskResources().times(missing))))) {
return;
}
Map < String, Long > atMost = job.liveAttempts.isEmpty() ? unschedulable.room(job, preempts) : null;
if(atMost != null && ! fits(spec, missing, zoneWithRoom(missing, atMost), atMost)) {
return;
}
CapacityRequest.Source source = preempts ? CapacityRequest.Source.SAME_PRIORITY : CapacityRequest.Source.FREE;
List < Machine > withRoom = withRoom(job, source, nowMicros);
List < Machine > candidates = namable(job, withRoom, nowMicros);
Map < String, Long > perZone = roomPerZone(job, candidates, preempts);
if(candidates.size() == withRoom.size() && job.failedMachines.isEmpty()) {
unschedulable.room(job, preempts, perZone);
}
String zone = job.liveAttempts.isEmpty() ? zoneWithRoom(missing, perZone) : job.liveAttempts.values().iterator().next().get(0).machine.zone;
if(! fits(spec, missing, zone, perZone)) {
return;
}
if(spec.singleZone()) {
candidates.removeIf(machine -> ! machine.zone.equals(zone));
}
for(int i = 0;
i < missing;
i ++) {
int index = job.nextPendingTask();
Machine machine = index < 0 ? null : choose(job, candidates, preempts, nowMicros);
if(machine == null) {
for(List < Placement > list : List.copyOf(job.liveAttempts.values())) {
for(Placement placement : List.copyOf(list)) {
if(placement.isUnsent()) {
placements.remove(placement);
}
}
}
return;
}
placements.placeTask(job, index, machine, nowMicros);
}
}


/** How many tasks of a gang fit into each zone, with what it could displace where it may. */
private Map < String, Long > roomPerZone(Job job, List < Machine > machines, boolean preempts) {
Map < String, Long > perZone = new HashMap < >();
for(Machine machine : machines) {
long tasks = preempts ? preemption.tasksFittingAfterPreemption(job, machine) : job.spec.taskResources().timesFittingIn(machine.freeCapacity());
perZone.merge(machine.zone, tasks, Long :: sum);
}
return perZone;
}


/** A zone with room for so many, or null. */
private static String zoneWithRoom(int count, Map < String, Long > perZone) {
for(Map.Entry < String, Long > entry : perZone.entrySet()) {
if(entry.getValue() >= count) {
return entry.getKey();
}
}
return null;
}


/** @param zone where all of them have to go if they have to be in one */
private static boolean fits(JobSpec spec, int missing, String zone, Map < String, Long > perZone) {
if(spec.singleZone()) {
return zone != null && perZone.getOrDefault(zone, 0L) >= missing;
}
long fits = 0;
for(long count : perZone.values()) {
fits += Math.min(count, spec.maxTasksPerZone());
}
return fits >= missing;
}


private Machine choose(Job job, List < Machine > candidates, boolean preempts, long nowMicros) {
JobSpec spec = job.spec;
Machine with = null;
Machine without = null;
for(Machine machine : candidates) {
if(spec.taskResources().fitsIn(machine.freeCapacity()) && zoneAllows(job, machine)) {
if(machine.images.containsKey(spec.image())) {
with = with == null || LEAST_ROOM.compare(machine, with) < 0 ? machine : with;
}
else {
without = without == null || MOST_ROOM.compare(machine, without) < 0 ? machine : without;
}
}
}
if(with != null) {
return with;
}
boolean longFetch = without != null && fetchMicros(without, spec) > LONG_FETCH_MICROS;
if(preempts &&(without == null || longFetch)) {
Machine there = null;
long least = Preemption.IMPOSSIBLE;
for(Machine machine : candidates) {
boolean hasImage = machine.images.containsKey(spec.image());
if((without == null || hasImage) && zoneAllows(job, machine)) {
long loss = preemption.lostWork(job, machine, true, nowMicros);
loss += loss == Preemption.IMPOSSIBLE || hasImage ? 0 : fetchMicros(machine, spec);
if(loss < least)
{
if(isStartable(queued.job(), nowMicros) && pass.isPending(queued.job())) {


if(pass.isOver(machinesExamined())) {
pass.truncate();
return;
}
placeJob(queued, nowMicros);
pass.markVisited(queued.job());
}
}
pass.end();
}


private void placeJob(JobQueue.QueuedJob queued, long nowMicros) {
boolean mayPreempt = preemptionPolicy.mayPreempt(queued, nowMicros);
switch(queued.job().spec.kind()) {
case GANG -> gangs.place(queued, mayPreempt ? CapacityRequest.Source.SAME_PRIORITY : CapacityRequest.Source.FREE, nowMicros);
case SERVICE -> replicas.place(queued, nowMicros);
case ARRAY -> {
arrays.place(queued.job(), nowMicros);
arrays.closeFilledMachines(lastQueue);
if(mayPreempt) {
arrayPreemption.placeIfDue(queued, nowMicros);
}
}
}
}


/** Gives capacity that came free on one machine to the next in the queue. */
void refill(Machine machine, long nowMicros) {
machineRefill.refill(lastQueue, machine, nowMicros);
}


/** A task was placed on the machine. */
void taskPlaced(Machine machine) {
arrays.taskPlaced(lastQueue, machine);
unschedulable.usageChanged();
}


/** Tasks were taken from a machine: what did not fit may fit now. */
void capacityFreed() {
unschedulable.capacityFreed();
}


/** Something was placed or stopped: what could not be preempted may be preempted now. */
void usageChanged() {
unschedulable.usageChanged();
}


/** In which order jobs get capacity. */
JobQueue queue() {
return queue;
}


/** The jobs with pending tasks as of the last plan, in their order. */
List < JobQueue.QueuedJob > order() {
return lastQueue.jobs();
}


/**
 * How many of a job's tasks its team's limit allows.
 *
 * @param job whose tasks they are
 * @param count tasks that are asked for
 * @param alsoPlanned what the team is to get besides what it uses
 * @return at most {@code count}; of a gang all or none
 */
int tasksWithinLimit(Job job, int count, Resources alsoPlanned) {
return quota.tasksWithinLimit(job,
nowMicros + victim.job.spec.saveMicros() + 5 * Micros.SECOND);
placements.stopWithCheckpoint(victim
, alsoPlanned);
}


/** A batch of ledger writes begins: candidate machines are named for its jobs as they are now. */
void beginWriteBatch(long nowMicros) {
candidateMachines = new CandidateMachines(fleet.machines(), machine -> machine.isSchedulable(nowMicros, settings));
}


/**
 * Machines on which pending tasks may be placed later. With the ledger naming them before, such a start goes out with
 * the response to the heartbeat that told of free capacity, instead of waiting for a ledger write first.
 *
 * @param most how many names are returned at most
 * @return names; empty for all but arrays with pending tasks
 */
List < String > candidateMachines(Job job, int most, long nowMicros) {
if(job.spec.kind() != JobKind.ARRAY || job.pendingCount() == 0 || job.quarantined) {
return List.of();
}
return candidateMachines.machines(machine -> MachineSelection.isFeasible(job, machine, nowMicros), machine -> job.ledgerMachines.contains(machine.name), most);
}


/** Machines examined so far in this term, here and in the index. */
long machinesExamined() {
return selection.machinesExamined();
}


/** Plans of this term that went on in the next tick, for the log. */
int truncatedPlans() {
return pass.truncations();
}


/** Attempts that were evicted in this term, for the log: for services, and for gangs and arrays. */
String evictionCounts() {
return preemptionExecutor.counts();
}
}
