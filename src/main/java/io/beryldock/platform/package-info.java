/**
 * The adapter to the users' platform: settings, configuration document, target announcements, store protocol, HTTP
 * headers and statuses.
 *
 * <p>The adapter translates between the platform's terms and the project's and makes no decisions of its own. No other
 * package depends on the platform's names. Names on the wire are the platform's; each value is decoded once into a type
 * whose fields have descriptive names.
 */
package io.beryldock.platform;
