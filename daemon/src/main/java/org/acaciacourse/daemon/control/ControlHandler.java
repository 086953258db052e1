package org.acaciacourse.daemon.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.code.ResultCode;
import org.acaciacourse.core.route.Fleet;
import org.acaciacourse.core.state.CommandResult;
import org.acaciacourse.core.state.CommandResult.ClaimResult;
import org.acaciacourse.core.state.CommandResult.LeaseResult;
import org.acaciacourse.core.state.CommandResult.ProvisionResult;
import org.acaciacourse.core.state.CommandResult.UsageResult;
import org.acaciacourse.daemon.codec.CommandCodec;
import org.acaciacourse.daemon.codec.FleetAge;
import org.acaciacourse.daemon.codec.FleetCodec;
import org.acaciacourse.daemon.codec.ProvisionCodec;
import org.acaciacourse.daemon.codec.UsageCodec;
import org.acaciacourse.daemon.inner.SharedKey;
import org.acaciacourse.protocol.generated.AcquireLeaseCommand;
import org.acaciacourse.protocol.generated.ApplyReply;
import org.acaciacourse.protocol.generated.ApplyRequest;
import org.acaciacourse.protocol.generated.ClaimCommand;
import org.acaciacourse.protocol.generated.ClaimReply;
import org.acaciacourse.protocol.generated.CompleteClaimCommand;
import org.acaciacourse.protocol.generated.ControlService;
import org.acaciacourse.protocol.generated.EntryStatus;
import org.acaciacourse.protocol.generated.FleetReply;
import org.acaciacourse.protocol.generated.FreezeUsageCommand;
import org.acaciacourse.protocol.generated.FreezeUsageReply;
import org.acaciacourse.protocol.generated.LeaseReply;
import org.acaciacourse.protocol.generated.PollReply;
import org.acaciacourse.protocol.generated.PollRequest;
import org.acaciacourse.protocol.generated.ProvisionRecord;
import org.acaciacourse.protocol.generated.ProvisionReply;
import org.acaciacourse.protocol.generated.ReadIndexReply;
import org.acaciacourse.protocol.generated.ReleaseLeaseCommand;
import org.acaciacourse.protocol.generated.ReportCrashCommand;
import org.acaciacourse.protocol.generated.Result;
import org.acaciacourse.protocol.generated.RunUsageRecord;
import org.acaciacourse.protocol.generated.StatusReply;
import org.acaciacourse.protocol.generated.TraceContext;
import org.apache.thrift.TException;

/**
 * Serves entry VMs and operators: checks the key, then delegates to the services. A call
 * with a wrong key gets {@link ResultCode#OPERATOR_UNKNOWN}, or its connection is closed
 * if the type of the reply has no result code.
 * <p>
 * Thread safe.
 */
final class ControlHandler implements ControlService.Iface {

	private static final long MAX_FLEET_WAIT_MILLIS = 1_500;

	private final SharedKey innerKey;

	private final SharedKey operatorKey;

	/**
	 * How long a poll waits until a replica that has just started can serve it: the
	 * server listens some tens of milliseconds earlier. An entry VM that is refused
	 * pauses for longer than that.
	 */
	private static final long START_WAIT_MILLIS = 200;

	private final CountDownLatch pollGate = new CountDownLatch(1);

	private volatile Optional<Services> services = Optional.empty();

	ControlHandler(SharedKey innerKey, SharedKey operatorKey) {
		this.innerKey = innerKey;
		this.operatorKey = operatorKey;
	}

	/**
	 * Refuse polls at once until the replica has been started. Called for an empty data
	 * folder, as joining the others takes longer than a poll should wait.
	 */
	void bootstrapPending() {
		this.pollGate.countDown();
	}

	/**
	 * Start to serve, once bootstrap is complete.
	 * @param next the services that handle the calls
	 */
	void start(Services next) {
		this.services = Optional.of(next);
		this.pollGate.countDown();
	}

	@Override
	public ApplyReply apply(ApplyRequest request) {
		if (!this.operatorKey.matches(request.getOperatorKey())) {
			return new ApplyReply(Replies.result(ResultCode.OPERATOR_UNKNOWN), 0, "");
		}
		if (this.services.isEmpty()) {
			return new ApplyReply(Replies.result(ResultCode.NO_QUORUM), 0, "");
		}
		return this.services.get().apply().apply(request);
	}

	@Override
	public PollReply poll(String sharedKey, PollRequest request) throws TException {
		checkKey(sharedKey);
		try {
			if (!this.pollGate.await(START_WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
				throw new TException("not founded");
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new TException("stopping", ex);
		}
		return servicesFor(sharedKey).poll().poll(request);
	}

	@Override
	public ClaimReply claim(String sharedKey, ClaimCommand command, TraceContext trace) throws TException {
		ReplicaLoop loop = servicesFor(sharedKey).loop();
		return claimReply(loop, (state, now) -> CommandCodec.claim(now, command));
	}

	@Override
	public ClaimReply completeClaim(String sharedKey, CompleteClaimCommand command, TraceContext trace)
			throws TException {
		ReplicaLoop loop = servicesFor(sharedKey).loop();
		CommandCodec.outcome(command.getOutcome());
		return claimReply(loop, (state, now) -> CommandCodec.completeClaim(now, command));
	}

	private static ClaimReply claimReply(ReplicaLoop loop, LoopEvent.CommandFactory factory) {
		return Replies.await(loop.propose(factory))
			.fold((failure) -> new ClaimReply(Replies.result(failure), 0, false), ControlHandler::claimReply);
	}

	private static ClaimReply claimReply(CommandResult result) {
		ClaimResult claim = (ClaimResult) result;
		ClaimReply reply = new ClaimReply(Replies.result(claim.code()), claim.outcome().ordinal(), claim.granted());
		claim.response().ifPresent(reply::setAnswer);
		return reply;
	}

	@Override
	public Result reportCrash(String sharedKey, ReportCrashCommand command) throws TException {
		ReplicaLoop loop = servicesFor(sharedKey).loop();
		return Replies.await(loop.propose((state, now) -> CommandCodec.reportCrash(now, command)))
			.fold(Replies::result, (done) -> Replies.result(done.code()));
	}

	@Override
	public LeaseReply acquireLease(String sharedKey, AcquireLeaseCommand command) throws TException {
		ReplicaLoop loop = servicesFor(sharedKey).loop();
		return leaseReply(loop, (state, now) -> CommandCodec.acquireLease(now, command));
	}

	@Override
	public LeaseReply releaseLease(String sharedKey, ReleaseLeaseCommand command) throws TException {
		ReplicaLoop loop = servicesFor(sharedKey).loop();
		return leaseReply(loop, (state, now) -> CommandCodec.releaseLease(now, command));
	}

	private static LeaseReply leaseReply(ReplicaLoop loop, LoopEvent.CommandFactory factory) {
		return Replies.await(loop.propose(factory))
			.fold((failure) -> new LeaseReply(Replies.result(failure), 0, 0), (result) -> {
				LeaseResult lease = (LeaseResult) result;
				return new LeaseReply(Replies.result(lease.code()), lease.fencingNumber(), lease.remainingMillis());
			});
	}

	@Override
	public StatusReply status(String key) {
		if (!this.operatorKey.matches(key)) {
			return new StatusReply().setResult(Replies.result(ResultCode.OPERATOR_UNKNOWN));
		}
		return this.services.map((s) -> s.status().status())
			.orElseGet(() -> new StatusReply().setResult(Replies.result(ResultCode.NO_QUORUM)));
	}

	@Override
	public ReadIndexReply readIndex(String sharedKey) throws TException {
		ReplicaLoop loop = servicesFor(sharedKey).loop();
		return Replies.await(loop.readIndex())
			.fold((failure) -> new ReadIndexReply(Replies.result(failure), 0),
					(index) -> new ReadIndexReply(Replies.result(ResultCode.OK), index));
	}

	@Override
	public List<EntryStatus> entries(String sharedKey, boolean withReports) throws TException {
		return servicesFor(sharedKey).registry().localEntries(withReports, System.currentTimeMillis());
	}

	@Override
	public FleetReply fleet(String sharedKey, long revision, long waitMillis) throws TException {
		FleetKeeper keeper = servicesFor(sharedKey).fleet();
		long receivedAt = System.nanoTime();
		try {
			FleetReading reading = keeper.await(revision, Math.min(waitMillis, MAX_FLEET_WAIT_MILLIS));
			Fleet known = reading.fleet();
			ResultCode code = (known.revision() != 0) ? ResultCode.OK : ResultCode.NOT_READY;
			FleetReply reply = new FleetReply(Replies.result(code), known.revision(),
					(known.revision() != revision) ? FleetCodec.encode(known) : List.of());
			reading.readAt().ifPresent((readAt) -> reply.setAgeMillis(FleetAge.millis(readAt, receivedAt)));
			return reply;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new TException("stopping", ex);
		}
	}

	@Override
	public FreezeUsageReply freezeUsage(String sharedKey, FreezeUsageCommand command) throws TException {
		ReplicaLoop loop = servicesFor(sharedKey).loop();
		return Replies.await(loop.propose((state, now) -> CommandCodec.freezeUsage(now, command)))
			.fold((failure) -> new FreezeUsageReply(Replies.result(failure)), (result) -> {
				FreezeUsageReply reply = new FreezeUsageReply(Replies.result(result.code()));
				((UsageResult) result).report().map(UsageCodec::encode).ifPresent(reply::setUsage);
				return reply;
			});
	}

	@Override
	public ProvisionReply recordProvision(String sharedKey, ProvisionRecord provision) throws TException {
		ReplicaLoop loop = servicesFor(sharedKey).loop();
		return Replies.await(loop.propose((state, now) -> CommandCodec.recordProvision(now, provision)))
			.fold((failure) -> new ProvisionReply(Replies.result(failure)),
					(result) -> new ProvisionReply(Replies.result(result.code())).setProvision(
							ProvisionCodec.encode(provision.getPool(), ((ProvisionResult) result).provision())));
	}

	@Override
	public List<RunUsageRecord> usage(String sharedKey) throws TException {
		return servicesFor(sharedKey).usage().map(UsageService::known).orElse(List.of());
	}

	private Services servicesFor(String sharedKey) throws TException {
		checkKey(sharedKey);
		return this.services.orElseThrow(() -> new TException("not founded"));
	}

	private void checkKey(String sharedKey) throws TException {
		if (!this.innerKey.matches(sharedKey)) {
			throw new TException("wrong key");
		}
	}

	/**
	 * The services that handle the calls.
	 *
	 * @param loop the replica's loop
	 * @param apply applies manifests
	 * @param poll responds to polls
	 * @param status reports the status
	 * @param registry the entry VMs that poll
	 * @param fleet the endpoints that the platform lists
	 * @param usage the usage that entry VMs have told, if it is reported
	 */
	record Services(ReplicaLoop loop, ApplyService apply, PollService poll, StatusService status,
			EntryRegistry registry, FleetKeeper fleet, Optional<UsageService> usage) {
	}

}
