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

/** Guards against submissions whose missing or invalid fields are silently replaced by defaults. */
class JobSpecTest {
  private static ObjectNode submission() {
    return Submissions.array("wk-000009", 2);
  }

  private static List<String> parseDependencies(String list) throws Exception {
    ObjectNode object = submission();
    object.set("awaits", Json.parse(list));
    JobSpec spec = JobSpec.parse(object);
    assertEquals(spec, JobSpec.parse(spec.toJson()), "a stored job is read back unchanged");
    return spec.dependencies();
  }

  @Test
  void missingNullAndEmptyListMeanNoDependencies() throws Exception {
    assertEquals(List.of(), JobSpec.parse(submission()).dependencies());
    assertEquals(List.of(), parseDependencies("null"));
    assertEquals(List.of(), parseDependencies("[]"));
    assertEquals(false, JobSpec.parse(submission()).toJson().has("awaits"));
  }

  @Test
  void removesDuplicateDependenciesAndKeepsTheirOrder() throws Exception {
    assertEquals(
        List.of("wk-000002", "wk-000001"),
        parseDependencies("[\"wk-000002\",\"wk-000001\",\"wk-000002\"]"));
  }

  private static Stream<String> requiredFields() {
    Iterable<String> names = submission()::fieldNames;
    return StreamSupport.stream(names.spliterator(), false);
  }

  /** A default would be a guess at the user's intention, such as for a flag or the estimate. */
  @ParameterizedTest
  @MethodSource("requiredFields")
  void rejectsMissingOrNullRequiredField(String field) {
    ObjectNode incomplete = submission();
    incomplete.remove(field);
    assertThrows(MalformedException.class, () -> JobSpec.parse(incomplete));
    assertThrows(MalformedException.class, () -> JobSpec.parse(submission().putNull(field)));
  }

  @ParameterizedTest
  @MethodSource("requiredFields")
  void rejectsRequiredFieldOfWrongType(String field) {
    assertThrows(
        MalformedException.class, () -> JobSpec.parse(submission().set(field, Json.object())));
    boolean isTextField = submission().get(field).isTextual();
    ObjectNode wrong = isTextField ? submission().put(field, 1) : submission().put(field, "1");
    assertThrows(MalformedException.class, () -> JobSpec.parse(wrong));
  }

  @Test
  void acceptsNullForOptionalFields() throws Exception {
    JobSpec withoutOptionalFields = JobSpec.parse(submission());
    ObjectNode nulls = submission().putNull("hulls").putNull("field").putNull("due_s");
    assertEquals(withoutOptionalFields, JobSpec.parse(nulls));
    assertNull(withoutOptionalFields.allowedMachineTypes());
    assertNull(withoutOptionalFields.zone());
    assertTrue(Double.isNaN(withoutOptionalFields.deadlineS()));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"\"wk-000001\"", "{}", "[1]", "[null]", "[\"wk-\"]", "[\"job-1\"]", "[[]]"})
  void rejectsInvalidDependencies(String list) {
    assertThrows(MalformedException.class, () -> parseDependencies(list));
  }
}
