import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * One machine of the core is removed for good and another one added. With the
 * disruption, a third one stands still from shortly before that until shortly after two
 * more have lost their disks; it keeps its own disk and comes back. In the end all
 * machines run, and the configuration is read back.
 */
final class CutOffReplaced {

	private static final long FROZEN_MILLIS = 7_800;

	private static final long REMOVED_MILLIS = 800;

	/** The new machine comes a second later and has catch_up_s, 4 s. */
	private static final long ADDED_MILLIS = 1_800;

	private static final long WIPED_MILLIS = 6_300;

	private static final long RECOVERY_MILLIS = 12_000;

	private static final long READ_MILLIS = 20_000;

	private final boolean trouble;

	private final Lab lab;

	private long begun;

	private CutOffReplaced(boolean trouble, Lab lab) {
		this.trouble = trouble;
		this.lab = lab;
	}

	public static void main(String[] args) throws Exception {
		int code = 2;
		try (Lab lab = new Lab(Path.of(args[0]), 1, 6, Map.of())) {
			try {
				code = new CutOffReplaced(!"0".equals(System.getenv("TROUBLE")), lab).run();
			}
			catch (Exception ex) {
				lab.note("could not run: " + ex);
			}
			lab.note("result " + code);
		}
		System.exit(code);
	}

	private static String configuration(int version) {
		return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-1\",\"host\":\"desk.example\","
				+ "\"path_prefix\":\"/ping/\",\"kind\":\"safe\",\"timeout_ms\":" + (800 + version)
				+ ",\"target_latency_ms\":150,\"priority\":2,\"service\":\"casedesk\",\"max_attempts\":2,"
				+ "\"allow_anonymous\":true}],\"services\":[{\"name\":\"casedesk\",\"health_path\":\"/health\","
				+ "\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
				+ "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
	}

	private int run() throws Exception {
		this.lab.runner("casedesk", 6,
				(runner, request, connection) -> connection.send(runner.answer(request, 200, "", "{}")));
		Lab.Machine spare = this.lab.controls.remove(5);
		this.lab.startAll();
		this.lab.configure(configuration(7), 30);
		this.lab.awaitReady(30);
		awaitVoters();
		// As the bench may choose by it: who leads. The seeds are the first three.
		List<Lab.Machine> others = new ArrayList<>(this.lab.controls);
		Lab.Machine leader = others.stream().filter((one) -> metric(one, "acaciacourse_replica_leader") == 1)
			.findFirst()
			.orElseThrow(() -> new Lab.CannotRun("nobody leads"));
		others.remove(leader);
		others.sort(Comparator.comparing((Lab.Machine one) -> one.name).reversed());
		Lab.Machine away = others.get(0);
		Lab.Machine removed = others.get(1);
		List<Lab.Machine> wiped = List.of(leader, others.get(2));
		this.lab.note("stays: " + others.get(3).name + "; away: " + away.name + "; removed: " + removed.name
				+ "; wiped: " + wiped.get(0).name + ", " + wiped.get(1).name + "; added: " + spare.name);
		this.begun = System.nanoTime();
		if (this.trouble) {
			away.signal("STOP");
		}
		at(REMOVED_MILLIS);
		removed.kill();
		this.lab.note(removed.name + " is gone for good");
		this.lab.controls.remove(removed);
		at(ADDED_MILLIS);
		spare.start(false);
		this.lab.controls.add(spare);
		at(WIPED_MILLIS - 600);
		List<Lab.Machine> asked = new ArrayList<>(this.lab.controls);
		asked.remove(away);
		if (!order(asked)) {
			throw new Lab.CannotRun("version 10 is not acknowledged");
		}
		at(WIPED_MILLIS);
		for (Lab.Machine machine : wiped) {
			machine.kill();
			machine.process.waitFor();
			wipe(machine.data());
			this.lab.note(machine.name + " has lost its disk");
		}
		Thread.sleep(1_100);
		for (Lab.Machine machine : wiped) {
			machine.start(false);
		}
		if (this.trouble) {
			at(FROZEN_MILLIS);
			away.signal("CONT");
		}
		this.lab.note("all machines are back");
		Thread.sleep(RECOVERY_MILLIS);
		return judge();
	}

	private void at(long millis) throws InterruptedException {
		Thread.sleep(Math.max(0, millis - (System.nanoTime() - this.begun) / 1_000_000));
	}

	private boolean order(List<Lab.Machine> machines) throws Exception {
		for (int i = 0; i < 6; i++) {
			for (Lab.Machine machine : machines) {
				try {
					if (this.lab.put(machine, configuration(10)).status == 200) {
						this.lab.note("version 10 acknowledged by " + machine.name);
						return true;
					}
				}
				catch (IOException ex) {
					// Another machine is asked.
				}
			}
			Thread.sleep(100);
		}
		return false;
	}

	private void awaitVoters() throws Exception {
		for (int i = 0; i < 150; i++) {
			if (this.lab.controls.stream().allMatch((one) -> metric(one, "acaciacourse_replica_voters") == 5)) {
				Thread.sleep(4_000);
				return;
			}
			Thread.sleep(100);
		}
		throw new Lab.CannotRun("five machines do not form a core");
	}

	private double metric(Lab.Machine machine, String name) {
		try {
			Lab.Answer answer = Lab.call(machine.ip, 9464,
					"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", new byte[0], 2_000);
			for (String line : new String(answer.body).split("\n")) {
				if (line.startsWith(name + " ")) {
					return Double.parseDouble(line.substring(name.length() + 1).strip());
				}
			}
		}
		catch (IOException ex) {
			// It does not tell.
		}
		return -1;
	}

	private static void wipe(Path folder) throws IOException {
		try (var files = Files.walk(folder)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
	}

	private int judge() throws Exception {
		for (long end = System.nanoTime() + READ_MILLIS * 1_000_000L; System.nanoTime() < end;) {
			for (Lab.Machine machine : this.lab.controls) {
				try {
					Lab.Answer answer = this.lab.get(machine);
					if (answer.status == 200) {
						boolean newest = new String(answer.body).contains("\"version\":10");
						this.lab.note(machine.name + " reads back the configuration, the newest: " + newest);
						return (newest) ? 0 : 1;
					}
				}
				catch (IOException ex) {
					// Another machine is asked.
				}
			}
			Thread.sleep(500);
		}
		for (Lab.Machine machine : this.lab.controls) {
			String answer;
			try {
				answer = "answers " + this.lab.get(machine).status;
			}
			catch (IOException ex) {
				answer = ex.toString();
			}
			this.lab.note(machine.name + " runs: " + machine.process.isAlive() + ", " + answer + ", voters it knows "
					+ metric(machine, "acaciacourse_replica_voters") + ", applied "
					+ metric(machine, "acaciacourse_replica_applied_index"));
		}
		this.lab.note("CONFIG: " + (RECOVERY_MILLIS + READ_MILLIS) / 1_000
				+ " s after all machines are back nobody reads back the acknowledged configuration");
		return 1;
	}

}
