import java.nio.file.Path;

/** A case. */
interface Case extends AutoCloseable {

	/**
	 * Play the case.
	 * @param trouble whether with its disruption
	 * @return whether the rule was broken
	 */
	boolean isBroken(boolean trouble) throws Exception;

	@Override
	void close();

	/**
	 * Run a case, write its record and end the process: with 10 if the rule was broken, 0 if it held, 2 if the case could not
	 * run. A virtual machine that fails ends with 1 by itself, which must not look like a broken rule.
	 */
	static void run(String file, Start start) throws Exception {
		int result = 2;
		try (Record record = new Record(Path.of(file))) {
			try (Case played = start.start(record)) {
				result = (played.isBroken(!"0".equals(System.getenv("TROUBLE")))) ? 10 : 0;
			}
			catch (Throwable ex) {
				record.line("cannot run: " + ex);
				result = 2;
			}
		}
		System.exit(result);
	}

	/** Makes the case. */
	interface Start {

		Case start(Record record) throws Exception;

	}

}
