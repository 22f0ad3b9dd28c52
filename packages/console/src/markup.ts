/** HTML of the console's single page. The script generates its content from the schema and the configuration document. */
export const MARKUP = `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>kingcupdeck console</title>
<link rel="stylesheet" href="/console.css">
</head>
<body>
<header>
  <h1>kingcupdeck</h1>
  <nav aria-label="Console sections" id="tabs" role="tablist"></nav>
</header>
<main>
  <form id="login">
    <h2>Sign in</h2>
    <label>Operator token <input type="password" id="token" autocomplete="off" required></label>
    <button type="submit">Sign in</button>
    <p class="fault" id="loginFault" role="alert"></p>
  </form>
  <div id="work" hidden>
    <p id="state" role="status"></p>
    <section id="panel" tabindex="-1"></section>
    <section id="review" hidden aria-labelledby="reviewTitle">
      <h2 id="reviewTitle">Review changes</h2>
      <div id="diff"></div>
      <p><button type="button" id="send">Submit</button> <button type="button" id="back">Back to editing</button></p>
    </section>
    <section id="conflict" hidden aria-labelledby="conflictTitle">
      <h2 id="conflictTitle">Conflict: the document has changed</h2>
      <p id="conflictText"></p>
      <div id="sides"></div>
      <p><button type="button" id="rebase">Apply my changes to the current version</button> <button type="button" id="discard">Discard my changes</button></p>
    </section>
    <footer><button type="button" id="check">Review changes</button></footer>
  </div>
</main>
<script src="/console.js"></script>
</body>
</html>
`
