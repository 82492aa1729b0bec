package org.snowturn.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What a submission has to say, and what it may say of the jobs that it awaits. */
class JobSpecTest {
  private static ObjectNode submission() {
    return Submissions.array("wk-000009", 2);
  }

  private static List<String> awaits(String list) throws Exception {
    ObjectNode object = submission();
    object.set("awaits", Json.parse(list));
    JobSpec spec = JobSpec.parse(object);
    assertEquals(spec, JobSpec.parse(spec.toJson()), "as it is stored, it is read again");
    return spec.dependencies();
  }

  @Test
  void absentNullAndEmptyMeanNone() throws Exception {
    assertEquals(List.of(), JobSpec.parse(submission()).dependencies());
    assertEquals(List.of(), awaits("null"));
    assertEquals(List.of(), awaits("[]"));
    assertEquals(false, JobSpec.parse(submission()).toJson().has("awaits"));
  }

  @Test
  void repeatsAreHarmlessAndTheOrderStays() throws Exception {
    assertEquals(
        List.of("wk-000002", "wk-000001"), awaits("[\"wk-000002\",\"wk-000001\",\"wk-000002\"]"));
  }

  private static Stream<String> fields() {
    Iterable<String> names = submission()::fieldNames;
    return StreamSupport.stream(names.spliterator(), false);
  }

  /**
   * A default would be a guess of what the user wants: a lost flag or estimate is no small thing.
   */
  @ParameterizedTest
  @MethodSource("fields")
  void whatLacksAFieldIsMalformed(String field) {
    ObjectNode lacks = submission();
    lacks.remove(field);
    assertThrows(MalformedException.class, () -> JobSpec.parse(lacks));
    assertThrows(MalformedException.class, () -> JobSpec.parse(submission().putNull(field)));
  }

  @ParameterizedTest
  @MethodSource("fields")
  void soIsWhatHasOneOfTheWrongType(String field) {
    assertThrows(
        MalformedException.class, () -> JobSpec.parse(submission().set(field, Json.object())));
    boolean text = submission().get(field).isTextual();
    ObjectNode wrong = text ? submission().put(field, 1) : submission().put(field, "1");
    assertThrows(MalformedException.class, () -> JobSpec.parse(wrong));
  }

  @Test
  void whatMayBeNullMayBeMissing() throws Exception {
    JobSpec bare = JobSpec.parse(submission());
    ObjectNode nulls = submission().putNull("hulls").putNull("field").putNull("due_s");
    assertEquals(bare, JobSpec.parse(nulls));
    assertNull(bare.allowedMachineTypes());
    assertNull(bare.zone());
    assertTrue(Double.isNaN(bare.deadlineS()));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"\"wk-000001\"", "{}", "[1]", "[null]", "[\"wk-\"]", "[\"job-1\"]", "[[]]"})
  void anythingElseIsMalformed(String list) {
    assertThrows(MalformedException.class, () -> awaits(list));
  }
}
