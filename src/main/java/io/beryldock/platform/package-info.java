/**
 * The adapter to the users' platform: settings, configuration document, announcements of targets, the store's protocol,
 * headers and statuses.
 *
 * <p>It translates between the platform's words and the project's and decides nothing; nothing outside it knows a name
 * of the platform. The names on the wire are the platform's; each is decoded once into a type whose fields say what
 * they hold.
 */
package io.beryldock.platform;
