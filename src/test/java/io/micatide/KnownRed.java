package io.micatide;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.opentest4j.TestAbortedException;

/**
 * Passes over the tests that KNOWN-RED.txt names, and over nothing else: a test that fails for a real fault which is not mended yet. Each line is
 * {@code test, cause, issue}; the test by its class and method, a case of a table by its number as well:
 * {@code io.micatide.scheduler.JobLedgersTest#ledgersWrittenUnderLargerLimitsAreTakenOver[3]}. A named test runs all the same and fails the build once it passes. Three lines at
 * most; {@link KnownRedTest} holds the file to that.
 */
public final class KnownRed implements InvocationInterceptor {
    static final Path FILE = Path.of("KNOWN-RED.txt");
    static final int MOST = 3;
    private static final Pattern LINE = Pattern.compile("([\\w.]+)#(\\w+)(?:\\[(\\d+)])?, *(\\S.*\\S), *(\\d+)");
    private static final Pattern CASE = Pattern.compile("\\[test-template-invocation:#(\\d+)]");

    /** @param number of the case, 0 of a test without a table */
    record Line(String text, String type, String method, int number) {
        /** What is wrong with it, null if it names a test. */
        String problem() {
            try {
                for (Method each : Class.forName(type).getDeclaredMethods()) {
                    CsvSource table = each.getAnnotation(CsvSource.class);
                    if (each.getName().equals(method)
                            && (number == 0
                                    ? each.isAnnotationPresent(Test.class)
                                    : each.isAnnotationPresent(ParameterizedTest.class)
                                            && table != null
                                            && number <= table.value().length)) {
                        return null;
                    }
                }
            } catch (ClassNotFoundException e) {
                return text + ": no such class";
            }
            return text + ": no such test, or no such case of its table";
        }
    }

    private final List<Line> lines = read(FILE);

    /** An absent file has no lines. */
    static List<Line> read(Path file) {
        try {
            return Files.exists(file) ? parse(Files.readString(file)) : List.of();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Lines of another form than this are kept as naming no test. */
    static List<Line> parse(String text) {
        List<Line> result = new ArrayList<>();
        for (String line : text.lines().filter(each -> !each.isBlank()).toList()) {
            Matcher match = LINE.matcher(line.strip());
            result.add(
                    match.matches()
                            ? new Line(
                                    line,
                                    match.group(1),
                                    match.group(2),
                                    match.group(3) == null ? 0 : Integer.parseInt(match.group(3)))
                            : new Line(line, line, "", 0));
        }
        return result;
    }

    /** What is wrong with the file, nothing if it may stand. */
    static List<String> problems(List<Line> lines) {
        List<String> result = new ArrayList<>(
                lines.stream().map(Line::problem).filter(each -> each != null).toList());
        if (lines.size() > MOST) {
            result.add(lines.size() + " lines, and " + MOST + " are the most");
        }
        return result;
    }

    @Override
    public void interceptTestMethod(
            Invocation<Void> invocation, ReflectiveInvocationContext<Method> test, ExtensionContext context)
            throws Throwable {
        run(invocation, test.getExecutable(), 0);
    }

    @Override
    public void interceptTestTemplateMethod(
            Invocation<Void> invocation, ReflectiveInvocationContext<Method> test, ExtensionContext context)
            throws Throwable {
        Matcher number = CASE.matcher(context.getUniqueId());
        run(invocation, test.getExecutable(), number.find() ? Integer.parseInt(number.group(1)) : -1);
    }

    private void run(Invocation<Void> invocation, Method test, int number) throws Throwable {
        run(
                invocation,
                lines.stream()
                        .limit(MOST)
                        .filter(line ->
                                line.type().equals(test.getDeclaringClass().getName())
                                        && line.method().equals(test.getName())
                                        && line.number() == number)
                        .findFirst()
                        .orElse(null),
                System.out::println);
    }

    /**
     * @param line that names the test, null if none does
     * @param out is told of what is passed over
     */
    static void run(Invocation<Void> invocation, Line line, Consumer<String> out) throws Throwable {
        if (line == null) {
            invocation.proceed();
            return;
        }
        try {
            invocation.proceed();
        } catch (Throwable e) {
            out.accept("KNOWN RED: " + line.text());
            throw new TestAbortedException("known red: " + line.text(), e);
        }
        throw new AssertionError("passes, so its line in " + FILE + " has to go: " + line.text());
    }
}
