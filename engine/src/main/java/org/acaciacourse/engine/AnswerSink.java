package org.acaciacourse.engine;

import java.util.List;

/**
 * Takes the tokens of a run in their order.
 * <p>
 * Not thread safe: called on the thread of the batch.
 */
interface AnswerSink {

	/**
	 * Take a token.
	 * @param index its index, from 0
	 * @param tokens all tokens of the answer
	 */
	void token(int index, List<String> tokens);

	/**
	 * End the answer after its last token.
	 * @param tokens all tokens of the answer
	 */
	void end(List<String> tokens);

	/**
	 * End the answer before its last token, since the run was cancelled.
	 */
	void cancelled();

	/**
	 * Return whether somebody still listens.
	 * @return whether the connection is open
	 */
	boolean isOpen();

}
