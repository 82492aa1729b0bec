package org.snowturn.knownred;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.util.Optional;
import org.junit.jupiter.api.extension.DynamicTestInvocationContext;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.TestAbortedException;

/**
 * Extension that runs the tests of the known-red list like all others, but reports their failures
 * as skipped and prints whether each of them failed or passed.
 */
public final class KnownRedExtension implements InvocationInterceptor {
  private final KnownRed list;

  /** Creates an extension with the list of this repository. */
  public KnownRedExtension() {
    try {
      list = KnownRed.read(KnownRed.FILE);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void interceptTestMethod(
      Invocation<Void> invocation,
      ReflectiveInvocationContext<Method> invocationContext,
      ExtensionContext context)
      throws Throwable {
    run(invocation, testName(invocationContext.getExecutable()));
  }

  @Override
  public void interceptDynamicTest(
      Invocation<Void> invocation,
      DynamicTestInvocationContext invocationContext,
      ExtensionContext context)
      throws Throwable {
    run(invocation, testName(factoryMethod(context)) + "[" + context.getDisplayName() + "]");
  }

  private static Method factoryMethod(ExtensionContext context) {
    Optional<ExtensionContext> ancestor = Optional.of(context);
    while (ancestor.isPresent() && ancestor.get().getTestMethod().isEmpty()) {
      ancestor = ancestor.get().getParent();
    }
    return ancestor.orElseThrow().getRequiredTestMethod();
  }

  private static String testName(Method method) {
    return method.getDeclaringClass().getSimpleName() + "#" + method.getName();
  }

  private void run(Invocation<Void> invocation, String test) throws Throwable {
    KnownRed.Entry entry = list.entry(test);
    if (entry == null) {
      invocation.proceed();
      return;
    }
    try {
      invocation.proceed();
    } catch (Throwable failure) {
      System.out.println("KNOWN RED, fails as listed: " + entry.describe());
      throw new TestAbortedException("known red: " + entry.describe(), failure);
    }
    System.out.println("KNOWN RED, but passes, so take it off the list: " + entry.describe());
  }
}
