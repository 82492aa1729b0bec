package org.snowturn.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a submission may say of the jobs that it awaits. */
class JobSpecTest {
  private static ObjectNode submission() {
    ObjectNode o = Json.object().put("id", "wk-000009").put("jobclass", "c").put("owner", "t");
    o.put("shape", "batch").put("rank", "high").put("flakes", 2).put("cores", 1.0);
    o.put("ram_gb", 1.0).put("bundle", "i").put("size_gb", 1.0);
    return o;
  }

  private static List<String> awaits(String list) throws Exception {
    ObjectNode o = submission();
    o.set("awaits", Json.parse(list));
    JobSpec s = JobSpec.parse(o);
    assertEquals(s, JobSpec.parse(s.toJson()), "as it is stored, it is read again");
    return s.awaits();
  }

  @Test
  void absentNullAndEmptyMeanNone() throws Exception {
    assertEquals(List.of(), JobSpec.parse(submission()).awaits());
    assertEquals(List.of(), awaits("null"));
    assertEquals(List.of(), awaits("[]"));
    assertEquals(false, JobSpec.parse(submission()).toJson().has("awaits"));
  }

  @Test
  void repeatsAreHarmlessAndTheOrderStays() throws Exception {
    assertEquals(
        List.of("wk-000002", "wk-000001"), awaits("[\"wk-000002\",\"wk-000001\",\"wk-000002\"]"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"\"wk-000001\"", "{}", "[1]", "[null]", "[\"wk-\"]", "[\"job-1\"]", "[[]]"})
  void anythingElseIsMalformed(String list) {
    assertThrows(MalformedException.class, () -> awaits(list));
  }
}
