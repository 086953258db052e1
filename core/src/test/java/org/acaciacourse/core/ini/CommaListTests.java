package org.acaciacourse.core.ini;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link CommaList}.
 */
class CommaListTests {

	@Test
	void whitespaceAroundItemsIsStripped() {
		assertThat(CommaList.split("a,b ,  c\t,d e")).containsExactly("a", "b", "c", "d e").inOrder();
	}

	@Test
	void trailingEmptyItemsAreDropped() {
		assertThat(CommaList.split(",a,,b,,")).containsExactly("", "a", "", "b").inOrder();
		assertThat(CommaList.split("")).isEmpty();
		assertThat(CommaList.split(" , ")).isEmpty();
	}

}
