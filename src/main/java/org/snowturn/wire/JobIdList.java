package org.snowturn.wire;

import java.util.AbstractList;
import java.util.Collection;
import java.util.List;
import java.util.RandomAccess;

/**
 * An immutable list of job ids that takes eight bytes an id. A submission may list thousands of
 * jobs, and a controller keeps the lists of all live jobs.
 */
public final class JobIdList extends AbstractList<String> implements RandomAccess {
  private static final String PREFIX = "wk-";
  private static final int MAX_DIGITS = 18;
  private static final int RADIX = 10;

  /**
   * The code of the id that consists of zeros, by number of digits. Ids with the same value and
   * another number of digits are different ids, so each number of digits has a range of its own.
   */
  private static final long[] FIRST_CODES = firstCodes();

  private final long[] codes;

  private JobIdList(long[] codes) {
    this.codes = codes;
  }

  private static long[] firstCodes() {
    long[] first = new long[MAX_DIGITS + 2];
    long range = RADIX;
    for (int digits = 1; digits <= MAX_DIGITS; digits++) {
      first[digits + 1] = first[digits] + range;
      range *= RADIX;
    }
    return first;
  }

  /**
   * Returns a list of the ids in the collection's order.
   *
   * @throws IllegalArgumentException if one of them is not the id of a job
   */
  public static List<String> of(Collection<String> ids) {
    return ids.isEmpty()
        ? List.of()
        : new JobIdList(ids.stream().mapToLong(JobIdList::requireCode).toArray());
  }

  /** Returns whether a text is a valid job id: the prefix and up to 18 digits. */
  static boolean isId(String text) {
    int digits = text.length() - PREFIX.length();
    if (digits < 1 || digits > MAX_DIGITS || !text.startsWith(PREFIX)) {
      return false;
    }
    for (int i = PREFIX.length(); i < text.length(); i++) {
      if (text.charAt(i) < '0' || text.charAt(i) > '9') {
        return false;
      }
    }
    return true;
  }

  private static long requireCode(String id) {
    if (!isId(id)) {
      throw new IllegalArgumentException("not a job id: " + id);
    }
    return encode(id);
  }

  private static long encode(String id) {
    int digits = id.length() - PREFIX.length();
    return FIRST_CODES[digits] + Long.parseLong(id, PREFIX.length(), id.length(), RADIX);
  }

  private static String decode(long code) {
    int digits = 1;
    while (code >= FIRST_CODES[digits + 1]) {
      digits++;
    }
    String value = Long.toString(code - FIRST_CODES[digits]);
    return PREFIX + "0".repeat(digits - value.length()) + value;
  }

  @Override
  public String get(int index) {
    return decode(codes[index]);
  }

  @Override
  public int size() {
    return codes.length;
  }

  @Override
  public int indexOf(Object id) {
    if (!(id instanceof String text) || !isId(text)) {
      return -1;
    }
    long code = encode(text);
    for (int i = 0; i < codes.length; i++) {
      if (codes[i] == code) {
        return i;
      }
    }
    return -1;
  }
}
